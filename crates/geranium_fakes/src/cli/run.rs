//! Runs one stand-in.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;

use tokio::signal::unix::{SignalKind, signal};

use super::{CliError, Command, HELP, PlatformArgs};
use crate::{FakeEngine, FakePlatform, FakeService};

/// Runs what the command line asks for until the process is told to end.
///
/// # Errors
///
/// Returns an error if the stand-in cannot start.
pub async fn run(command: Command) -> Result<(), CliError> {
    match command {
        Command::Help => print(HELP),
        Command::Version => print(concat!("geranium-fakes ", env!("CARGO_PKG_VERSION"), "\n")),
        Command::Platform(args) => {
            let platform = start_platform(args).await?;
            serve(&platform.addresses(), platform.admin_address()).await?;
        }
        Command::Engine(cfg) => {
            let engine = FakeEngine::start(*cfg).await?;
            serve(&[engine.address()], engine.admin_address()).await?;
        }
        Command::Service(cfg) => {
            let service = FakeService::start(cfg).await?;
            serve(&[service.address()], service.admin_address()).await?;
        }
    }
    Ok(())
}

async fn start_platform(args: PlatformArgs) -> Result<FakePlatform, CliError> {
    let seed = match &args.seed_file {
        Some(path) => read_seed(path).await?,
        None => serde_json::Map::new(),
    };
    let platform = FakePlatform::start(args.cfg).await?;
    for (key, value) in seed {
        platform.put(&key, seed_value(value));
    }
    Ok(platform)
}

async fn read_seed(path: &Path) -> Result<serde_json::Map<String, serde_json::Value>, CliError> {
    let name = || path.display().to_string();
    let text = tokio::fs::read(path)
        .await
        .map_err(|e| CliError::SeedFile(name(), e.to_string()))?;
    serde_json::from_slice(&text).map_err(|e| CliError::SeedFile(name(), e.to_string()))
}

fn seed_value(value: serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text,
        value => value.to_string(),
    }
}

async fn serve(listen: &[SocketAddr], admin: SocketAddr) -> Result<(), CliError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(CliError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(CliError::Signal)?;
    let listen: Vec<String> = listen.iter().map(SocketAddr::to_string).collect();
    let listen = listen.join(",");
    print(&format!("listen {listen} admin {admin}\n"));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Prints to the standard output, which may have been closed.
fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes());
    let _ = out.flush();
}
