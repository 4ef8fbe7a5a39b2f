//! The thread that holds the connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use super::call::PeerCall;
use super::job::{Job, Request};
use super::link::Link;
use crate::PeerClientConfig;

/// Time between looks at which connections are still used.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);

/// Makes calls over one link for each peer.
pub(super) struct Worker {
    config: Arc<PeerClientConfig>,
    links: HashMap<SocketAddr, Rc<Link>>,
}

impl Worker {
    pub(super) fn new(config: Arc<PeerClientConfig>) -> Self {
        Self {
            config,
            links: HashMap::default(),
        }
    }

    /// Makes the calls that arrive until the last client is dropped.
    pub(super) async fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        let mut look = interval(LOOK_INTERVAL);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                job = jobs.recv() => match job {
                    Some(job) => self.start(job),
                    None => return,
                },
                _ = look.tick() => self.links.retain(|_, link| link.is_used()),
            }
        }
    }

    fn start(&mut self, job: Job) {
        match job {
            Job::Heartbeat(request) => self.make(request),
            Job::PullRecords(request) => self.make(request),
            Job::PushRecords(request) => self.make(request),
            Job::InForce(request) => self.make(request),
            Job::Command(request) => self.make(request),
        }
    }

    fn make<C: PeerCall>(&mut self, request: Request<C>) {
        let config = &self.config;
        let link = self.links.entry(request.to);
        let link = link.or_insert_with(|| Rc::new(Link::new(request.to, Arc::clone(config))));
        let link = Rc::clone(link);
        spawn_local(async move {
            let answer = link.call(request.call, request.limit).await;
            // A caller that no longer waits needs no answer.
            let _ = request.reply.send(answer);
        });
    }
}
