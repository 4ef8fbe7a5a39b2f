//! Runs the tool, and starts the system that the tests use it on.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::SystemTime;

use geranium_fakes::system::{DomainSize, OPERATOR_TOKEN, System};
use serde_json::Value;

/// Path of the tested binary.
const GERANIUMCTL: &str = env!("CARGO_BIN_EXE_geraniumctl");

/// Advice for a missing or outdated daemon binary.
const HOW_TO_BUILD: &str = "run `cargo build -p geranium_ctl --examples` first";

/// Two failure domains; only the first has enough hosts to form a group.
pub const DOMAINS: [DomainSize; 2] = [
    DomainSize::new("lima-1", 1, 2),
    DomainSize::new("lima-2", 1, 0),
];

/// Result of a run of the tool.
#[derive(Debug)]
pub struct Run {
    /// Exit code.
    pub code: Option<i32>,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl Run {
    /// Parses standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e} in {self:?}"))
    }

    /// Asserts the exit code and returns standard output.
    #[track_caller]
    pub fn expect_exit(&self, code: i32) -> &str {
        assert_eq!(self.code, Some(code), "{self:?}");
        &self.out
    }
}

/// The tool with the environment of each run.
pub struct Tool {
    /// Environment variables.
    pub env: Vec<(&'static str, String)>,
}

impl Tool {
    /// Creates a tool without settings.
    pub fn without_settings() -> Self {
        Self { env: Vec::new() }
    }

    /// Creates a tool that calls the entry hosts of a system.
    pub fn for_system(system: &System) -> Self {
        let hosts = system.entries.iter().map(|e| e.at.operator.to_string());
        let hosts: Vec<String> = hosts.collect();
        Self {
            env: vec![
                ("GERANIUM_HOSTS", hosts.join(",")),
                ("GERANIUM_OPERATOR_TOKEN", OPERATOR_TOKEN.to_owned()),
            ],
        }
    }

    /// Runs the tool.
    pub fn run(&self, args: &[&str]) -> Run {
        self.run_with_stdin(args, "")
    }

    /// Runs the tool with a document on standard input.
    pub fn run_with_document(&self, args: &[&str], document: &Value) -> Run {
        self.run_with_stdin(args, &document.to_string())
    }

    /// Starts the tool and returns the running process.
    pub fn spawn(&self, args: &[&str]) -> Child {
        Command::new(GERANIUMCTL)
            .env_clear()
            .envs(self.env.iter().map(|(name, value)| (*name, value)))
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("geraniumctl starts")
    }

    /// Runs the tool with text on standard input.
    pub fn run_with_stdin(&self, args: &[&str], stdin: &str) -> Run {
        let mut child = self.spawn(args);
        // The write fails if the tool has exited without reading its input.
        let _ = child
            .stdin
            .take()
            .expect("piped")
            .write_all(stdin.as_bytes());
        let output = child.wait_with_output().expect("geraniumctl ends");
        Run {
            code: output.status.code(),
            out: String::from_utf8(output.stdout).expect("UTF-8"),
            err: String::from_utf8(output.stderr).expect("UTF-8"),
        }
    }
}

/// Starts a system of two entry hosts in two failure domains.
pub async fn start() -> System {
    System::start(entry_host_binary(), &DOMAINS, |_| {}).await
}

/// Returns the path of the daemon, which Cargo builds as an example of this package.
///
/// `cargo test --test ctl` alone does not build examples, so a missing or outdated binary
/// makes the test fail.
fn entry_host_binary() -> PathBuf {
    let target = Path::new(GERANIUMCTL).parent().expect("a directory");
    let path = target.join("examples").join("entry_host");
    let sources = std::fs::read_to_string(path.with_extension("d"));
    let sources = sources.unwrap_or_else(|e| panic!("{path:?} is not built: {e}; {HOW_TO_BUILD}"));
    let built_at = modified_at(&path);
    let (_, sources) = sources.split_once(": ").expect("a list of sources");
    // Cargo escapes a space in a path with a backslash.
    let sources = sources.replace("\\ ", "\0");
    for source in sources.split_whitespace() {
        let source = source.replace('\0', " ");
        let is_outdated = modified_at(Path::new(&source)) > built_at;
        assert!(
            !is_outdated,
            "{path:?} is older than {source}; {HOW_TO_BUILD}"
        );
    }
    path
}

fn modified_at(path: &Path) -> SystemTime {
    let metadata = std::fs::metadata(path).unwrap_or_else(|e| panic!("{path:?}: {e}"));
    metadata.modified().expect("a modification time")
}
