//! The watch of rank 0 over the other members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use geranium_core::engine::{EnginePhase, LoadOrder, Member};
use geranium_core::id::{GroupId, Incarnation};
use geranium_net::{ClientConfig, ClientError, HttpClient, HttpRequest};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use super::core::EngineCore;

/// Time between looks at the members.
const INTERVAL: Duration = Duration::from_millis(50);
/// Time without an answer of a member after which the group stands still.
const STALL_AFTER: Duration = Duration::from_millis(200);

/// What rank 0 tells a member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct MemberQuestion {
    pub group: GroupId,
    pub phase: EnginePhase,
    /// How often the member had turned cold when rank 0 last heard of it.
    pub turned_cold: u64,
}

/// What a member tells rank 0.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct MemberAnswer {
    pub group: Option<GroupId>,
    pub incarnation: Incarnation,
    pub loaded: bool,
    pub turned_cold: u64,
    pub straggle_factor: f64,
}

/// What rank 0 knows of one member of its present group.
#[derive(Clone, Debug)]
struct Known {
    address: SocketAddr,
    last: Option<MemberAnswer>,
}

/// Watches the other members while the engine is rank 0.
pub(super) struct MemberWatch {
    core: Arc<EngineCore>,
    http: HttpClient,
    followed: Option<(LoadOrder, Incarnation)>,
    members: Vec<Known>,
}

impl MemberWatch {
    pub fn new(core: Arc<EngineCore>) -> Self {
        Self {
            core,
            http: HttpClient::new(&ClientConfig::default()),
            followed: None,
            members: Vec::new(),
        }
    }

    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            self.core.wait_unpaused().await;
            self.take_order();
            self.look().await;
        }
    }

    /// Begins anew when the engine follows another order.
    fn take_order(&mut self) {
        let state = self.core.state.lock();
        let load = state.load_order().filter(|load| load.rank == 0);
        let followed = load.map(|load| (load.clone(), state.incarnation()));
        if followed == self.followed {
            return;
        }
        let others = load.map_or(&[][..], |load| load.members.get(1..).unwrap_or_default());
        self.members = others.iter().map(Known::new).collect();
        self.followed = followed;
        drop(state);
        let mut condition = self.core.condition.lock();
        condition.stalled = false;
        condition.group_factor = 1.0;
    }

    async fn look(&mut self) {
        let Some((order, _)) = self.followed.clone() else {
            return;
        };
        if self.members.is_empty() {
            return;
        }
        let answers = self.ask_all(&order.group).await;
        self.core.condition.lock().stalled = false;
        if self.core.state.lock().joined() {
            self.judge(&order, answers);
        } else {
            self.try_join(&order, answers);
        }
    }

    async fn ask_all(&self, group: &GroupId) -> Vec<Result<MemberAnswer, ClientError>> {
        let phase = self.core.phase();
        let questions = self.members.iter().map(|member| {
            let question = MemberQuestion {
                group: group.clone(),
                phase,
                turned_cold: member.last.as_ref().map_or(0, |last| last.turned_cold),
            };
            self.ask(member.address, question)
        });
        let asked = Instant::now();
        let all = join_all(questions);
        tokio::pin!(all);
        if let Ok(answers) = tokio::time::timeout(STALL_AFTER, &mut all).await {
            return answers;
        }
        log::debug!("group {group} stands still after {:?}", asked.elapsed());
        self.core.condition.lock().stalled = true;
        all.await
    }

    async fn ask(
        &self,
        address: SocketAddr,
        question: MemberQuestion,
    ) -> Result<MemberAnswer, ClientError> {
        let req = HttpRequest::post(address, "/fake/member").json(&question)?;
        let limit = self.core.cfg.member_timeout;
        let (status, answer) = self.http.send_json(req, limit).await?;
        if status != StatusCode::OK {
            return Err(ClientError::Malformed(address, format!("status {status}")));
        }
        Ok(answer)
    }

    /// Lets the replica begin when every member has loaded.
    fn try_join(&mut self, order: &LoadOrder, answers: Vec<Result<MemberAnswer, ClientError>>) {
        let answers: Option<Vec<MemberAnswer>> = answers
            .into_iter()
            .map(|answer| answer.ok().filter(|a| a.loaded && a.follows(&order.group)))
            .collect();
        let Some(answers) = answers else {
            return;
        };
        self.remember(answers);
        let mut state = self.core.state.lock();
        if state.load_order() == Some(order) {
            state.join();
        }
    }

    /// Ends the replica when a member is missing, restarted or follows something else.
    fn judge(&mut self, order: &LoadOrder, answers: Vec<Result<MemberAnswer, ClientError>>) {
        let group = &order.group;
        let mut present = Vec::new();
        for (member, answer) in self.members.iter().zip(answers) {
            match answer {
                Ok(answer) if member.is_same_run(&answer) && answer.follows(group) => {
                    present.push(answer);
                }
                Ok(_) | Err(_) => {
                    log::info!("member at {} of group {group} is missing", member.address);
                    self.core.end_replica(order);
                    return;
                }
            }
        }
        let turned_cold = self.members.iter().zip(&present).any(|(member, answer)| {
            member.last.as_ref().map(|last| last.turned_cold) != Some(answer.turned_cold)
        });
        if turned_cold {
            self.core.forget();
        }
        self.remember(present);
    }

    fn remember(&mut self, answers: Vec<MemberAnswer>) {
        let factors = answers.iter().map(|answer| answer.straggle_factor);
        self.core.condition.lock().group_factor = factors.fold(1.0, f64::max);
        for (member, answer) in self.members.iter_mut().zip(answers) {
            member.last = Some(answer);
        }
    }
}

impl Known {
    const fn new(member: &Member) -> Self {
        Self {
            address: member.address,
            last: None,
        }
    }

    fn is_same_run(&self, answer: &MemberAnswer) -> bool {
        let last = self.last.as_ref();
        last.is_some_and(|last| last.incarnation == answer.incarnation) && answer.loaded
    }
}

impl MemberAnswer {
    /// Makes the answer of a member to rank 0.
    pub fn of(core: &EngineCore, question: &MemberQuestion) -> Self {
        let straggle_factor = core.condition.lock().straggle_factor;
        let now = core.now();
        let mut state = core.state.lock();
        state.advance(core.cfg.warm_after, now);
        state.adopt_phase(&question.group, question.phase, question.turned_cold);
        Self {
            group: state.load_order().map(|load| load.group.clone()),
            incarnation: state.incarnation(),
            loaded: state.has_loaded(now),
            turned_cold: state.turned_cold(),
            straggle_factor,
        }
    }

    fn follows(&self, group: &GroupId) -> bool {
        self.group.as_ref() == Some(group)
    }
}
