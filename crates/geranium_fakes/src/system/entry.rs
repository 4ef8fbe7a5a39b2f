//! Entry hosts as processes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that tests use; below the range that the system hands out itself.
const FIRST_PORT: u16 = 20_000;

/// Number of ports that tests use.
const PORTS: u16 = 12_000;

/// Operator token of every entry host.
pub const OPERATOR_TOKEN: &str = "system-test-operator";

/// Peer token of every entry host.
pub const PEER_TOKEN: &str = "system-test-peer-token";

/// Memory of every entry host for answers that callers have not taken, in bytes.
pub const RESPONSE_MEMORY_BYTES: u64 = 16 << 20;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a free loopback address.
#[must_use]
pub fn free_address() -> SocketAddr {
    let offset = (std::process::id() % u32::from(PORTS)) as u16;
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset.wrapping_mul(7).wrapping_add(next)) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Where an entry host listens.
#[derive(Clone, Debug)]
pub struct EntryAddresses {
    /// Name of the entry host.
    pub host: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Listener for callers.
    pub caller: SocketAddr,
    /// Listener for operators.
    pub operator: SocketAddr,
    /// Listener for peers.
    pub peer: SocketAddr,
}

impl EntryAddresses {
    /// Chooses addresses for an entry host.
    #[must_use]
    pub fn choose(host: &str, failure_domain: &str) -> Self {
        Self {
            host: host.to_owned(),
            failure_domain: failure_domain.to_owned(),
            caller: free_address(),
            operator: free_address(),
            peer: free_address(),
        }
    }
}

/// A running entry host; dropping it kills the process.
pub struct Entry {
    /// Where it listens.
    pub at: EntryAddresses,
    child: Child,
}

impl Entry {
    /// Starts an entry host from a built `geraniumd`.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    #[must_use]
    pub fn start(
        geraniumd: &Path,
        at: EntryAddresses,
        platform: SocketAddr,
        peers: &[SocketAddr],
    ) -> Self {
        let peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
        let child = Command::new(geraniumd)
            .env_clear()
            .env("GERANIUM_HOST", &at.host)
            .env("GERANIUM_FAILURE_DOMAIN", &at.failure_domain)
            .env("GERANIUM_CALLER_ADDRESS", at.caller.to_string())
            .env("GERANIUM_OPERATOR_ADDRESS", at.operator.to_string())
            .env("GERANIUM_PEER_ADDRESS", at.peer.to_string())
            .env("GERANIUM_PLATFORM", platform.to_string())
            .env("GERANIUM_PEERS", peers.join(","))
            .env("GERANIUM_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .env("GERANIUM_PEER_TOKEN", PEER_TOKEN)
            .env(
                "GERANIUM_RESPONSE_MEMORY_BYTES",
                RESPONSE_MEMORY_BYTES.to_string(),
            )
            .env("GERANIUM_LOG_LEVEL", "off")
            .stdin(Stdio::null())
            .spawn()
            .expect("geraniumd starts");
        Self { at, child }
    }

    /// Kills the process without warning.
    ///
    /// # Panics
    ///
    /// Panics if the process is not there.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process exists");
        self.child.wait().expect("the process ends");
    }

    /// Stops the process in its tracks.
    ///
    /// # Panics
    ///
    /// Panics if the process is not there.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Lets a frozen process go on.
    ///
    /// # Panics
    ///
    /// Panics if the process is not there.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Asks the process to end gracefully.
    ///
    /// # Panics
    ///
    /// Panics if the process is not there.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Returns the exit code if the process has ended.
    ///
    /// # Panics
    ///
    /// Panics if the process is not there.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .expect("the process is ours")
            .and_then(|status| status.code())
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the most memory that the process has used so far, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the process is not there.
    #[must_use]
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.pid());
        let text = std::fs::read_to_string(path).expect("the process is ours");
        let peak = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|peak| peak.split_whitespace().next()?.parse::<u64>().ok());
        kib.expect("the peak in KiB") << 10
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([signal, &pid])
            .status()
            .expect("kill runs");
        assert!(status.success(), "kill {signal} {pid} failed");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
