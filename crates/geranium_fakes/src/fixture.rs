//! Fixtures for tests that need a group of engines.

use std::time::Duration;

use bytes::Bytes;
use geranium_core::engine::{EnginePhase, LoadOrder, Member, Order, OrderAction};
use geranium_core::id::{FencingNumber, GroupId, HostId, RequestId};
use geranium_engine::{ChatRequest, CompletionRequest, EngineApi, EngineError};

use crate::{EngineConfig, FakeEngine, expected_text};

/// Weights that the fixtures load.
pub const WEIGHTS: &str = "maranta-70b";
/// Version of the weights that the fixtures load.
pub const VERSION: &str = "3";
/// Group that the fixtures form.
pub const GROUP: &str = "lima-1:1";

/// Time between looks at a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time after which a member is missed, longer than any pause of a busy machine.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns settings of an engine that loads at once and is quick with tokens.
#[must_use]
pub fn quick_engine(host: &str) -> EngineConfig {
    EngineConfig {
        load_time: Duration::ZERO,
        token_time: Duration::from_micros(100),
        member_timeout: MEMBER_TIMEOUT,
        ..EngineConfig::new(HostId::new(host))
    }
}

/// Returns the order that makes an engine a member of [`GROUP`].
///
/// # Panics
///
/// Panics if there is no member with that rank.
#[must_use]
pub fn load_order(members: &[&FakeEngine], rank: usize, fencing: u64) -> Order {
    let all = members.iter().map(|engine| Member {
        host: engine.host().clone(),
        address: engine.address(),
    });
    let load = LoadOrder {
        group: GroupId::new(GROUP),
        model: WEIGHTS.to_owned(),
        version: VERSION.to_owned(),
        adapters: Vec::new(),
        rank: u32::try_from(rank).unwrap_or(u32::MAX),
        members: all.collect(),
    };
    Order {
        host: members[rank].host().clone(),
        fencing: FencingNumber(fencing),
        action: OrderAction::Load(load),
    }
}

/// Orders every member into [`GROUP`] and waits until rank 0 takes requests.
///
/// # Errors
///
/// Returns an error if a member does not follow its order.
pub async fn form_group(
    client: &impl EngineApi,
    members: &[&FakeEngine],
    fencing: u64,
) -> Result<(), EngineError> {
    for (rank, engine) in members.iter().enumerate() {
        let order = load_order(members, rank, fencing);
        client.send_order(engine.address(), &order).await?;
    }
    wait_until(|| {
        members.iter().all(|engine| {
            let phase = engine.report().phase;
            matches!(phase, EnginePhase::Cold | EnginePhase::Warm)
        })
    })
    .await;
    Ok(())
}

/// Waits until a condition holds.
pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns a streamed chat with one message of the user.
#[must_use]
pub fn chat(content: &str, tokens: u32) -> ChatRequest {
    ChatRequest {
        max_tokens: tokens,
        ..ChatRequest::user("maranta", content)
    }
}

/// Returns a completion of a chat by [`GROUP`].
#[must_use]
pub fn completion(request: &str, fencing: u64, chat: &ChatRequest) -> CompletionRequest {
    CompletionRequest {
        request: RequestId::new(request),
        group: GroupId::new(GROUP),
        fencing: FencingNumber(fencing),
        priority: 5,
        remaining: Duration::from_secs(600),
        // A chat always serialises.
        body: Bytes::from(serde_json::to_vec(chat).unwrap_or_default()),
        resume: None,
    }
}

/// Returns the whole text that [`GROUP`] gives for a chat.
#[must_use]
pub fn expected_answer(chat: &ChatRequest) -> String {
    expected_text(WEIGHTS, VERSION, &chat.prompt(), chat.max_tokens)
}
