//! Client side: calls other entry hosts.

mod call;
mod job;
mod link;
mod worker;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use geranium_core::member::{Heartbeat, MemberInfo};
use geranium_core::record::replication::PullAnswer;
use geranium_core::record::{RecordIndex, RecordKey, StoredRecord};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

use crate::{PeerClientConfig, PeerCommand, PeerError, PeerReply};
use call::{CommandCall, HeartbeatCall, InForceCall, PeerCall, PullRecordsCall, PushRecordsCall};
use job::{Job, Request};

/// Calls other entry hosts; clones share the connections.
///
/// Connections are made when they are needed, kept while they are used, and made
/// again after a wait if they fail. The thread ends with the last clone.
#[derive(Clone, Debug)]
pub struct PeerClient {
    jobs: mpsc::Sender<Job>,
    config: Arc<PeerClientConfig>,
}

impl PeerClient {
    /// Starts the thread that holds the connections.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Start`] if the thread cannot be started.
    pub fn start(config: PeerClientConfig) -> Result<Self, PeerError> {
        let start_error = |e: std::io::Error| PeerError::Start(e.to_string());
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(start_error)?;
        let config = Arc::new(config);
        let (jobs, queue) = mpsc::channel(config.max_queued.max(1));
        let worker_config = Arc::clone(&config);
        let work = move || {
            let worker = worker::Worker::new(worker_config);
            LocalSet::new().block_on(&runtime, worker.run(queue));
        };
        let builder = thread::Builder::new().name("peer-client".to_owned());
        builder.spawn(work).map_err(start_error)?;
        Ok(Self { jobs, config })
    }

    /// Sends a heartbeat and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if no answer came.
    pub async fn heartbeat(
        &self,
        to: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Result<Heartbeat, PeerError> {
        let call = HeartbeatCall(Box::new(heartbeat));
        self.call(to, call, self.config.call_timeout, Job::Heartbeat)
            .await
    }

    /// Tells which versions of records are held here and returns newer ones.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if no answer came.
    pub async fn pull_records(
        &self,
        to: SocketAddr,
        caller: MemberInfo,
        held: RecordIndex,
    ) -> Result<PullAnswer, PeerError> {
        let call = PullRecordsCall { caller, held };
        let limit = self.config.records_timeout;
        self.call(to, call, limit, Job::PullRecords).await
    }

    /// Sends records.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the peer did not confirm them.
    pub async fn push_records(
        &self,
        to: SocketAddr,
        caller: MemberInfo,
        records: Vec<Arc<StoredRecord>>,
    ) -> Result<(), PeerError> {
        let call = PushRecordsCall { caller, records };
        let limit = self.config.records_timeout;
        self.call(to, call, limit, Job::PushRecords).await
    }

    /// Asks which versions of some records are in force at a peer.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if no answer came.
    pub async fn in_force(
        &self,
        to: SocketAddr,
        keys: Vec<RecordKey>,
    ) -> Result<RecordIndex, PeerError> {
        let limit = self.config.call_timeout;
        self.call(to, InForceCall(keys), limit, Job::InForce).await
    }

    /// Sends a command and returns the reply.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if no reply came; the command may have been
    /// carried out.
    pub async fn command(
        &self,
        to: SocketAddr,
        command: PeerCommand,
    ) -> Result<PeerReply, PeerError> {
        let limit = self.config.call_timeout;
        self.call(to, CommandCall(command), limit, Job::Command)
            .await
    }

    async fn call<C: PeerCall>(
        &self,
        to: SocketAddr,
        call: C,
        limit: Duration,
        job: impl FnOnce(Request<C>) -> Job,
    ) -> Result<C::Answer, PeerError> {
        let (reply, answer) = oneshot::channel();
        let request = Request {
            to,
            call,
            limit,
            reply,
        };
        self.jobs.try_send(job(request)).map_err(|e| match e {
            TrySendError::Full(_) => PeerError::QueueFull(to),
            TrySendError::Closed(_) => PeerError::Stopped(to),
        })?;
        answer.await.unwrap_or(Err(PeerError::Stopped(to)))
    }
}
