//! A run of the tool that continues until it is stopped.

use std::io::{BufRead, BufReader};
use std::process::Child;
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use crate::fixture::Tool;

/// Timeout for a line of output; only a failing test reaches it.
const LINE_TIMEOUT: Duration = Duration::from_secs(40);

/// A running process of the tool, which is killed on drop.
pub struct RunningTool {
    child: Child,
    lines: Receiver<String>,
}

impl RunningTool {
    /// Starts the tool.
    pub fn start(tool: &Tool, args: &[&str]) -> Self {
        let mut child = tool.spawn(args);
        let out = BufReader::new(child.stdout.take().expect("piped"));
        let (tx, lines) = channel();
        std::thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                if tx.send(line).is_err() {
                    return;
                }
            }
        });
        Self { child, lines }
    }

    /// Waits for the next line of the output.
    pub fn next_line(&mut self) -> String {
        self.lines
            .recv_timeout(LINE_TIMEOUT)
            .expect("a line in time")
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the child process can be queried")
            .is_none()
    }
}

impl Drop for RunningTool {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
