//! What the calls of one engine share.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use geranium_core::engine::{EnginePhase, EngineReport, Order};
use geranium_core::id::Incarnation;
use geranium_core::time::Timestamp;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio_util::sync::CancellationToken;

use super::load::{LaggedLoad, LoadSample};
use super::registry::SessionRegistry;
use super::{
    EngineConfig, EngineFault, EngineState, EngineStats, OrderRefusal, PrefixCache, SlotQueue,
};
use crate::http::Gate;

/// Time between looks at whether a stalled group moves again.
const STALL_POLL: Duration = Duration::from_millis(5);
/// Bits of an incarnation, which every JSON reader keeps exactly.
const INCARNATION_BITS: u32 = 53;
/// Bits of an incarnation that are random, for runs within one millisecond.
const RANDOM_BITS: u32 = 12;

/// State that faults change directly.
#[derive(Clone, Copy, Debug)]
pub(super) struct Condition {
    pub paused_until: Option<Instant>,
    pub straggle_factor: f64,
    /// Slowest factor of the other members, as rank 0 sees it.
    pub group_factor: f64,
    /// Whether rank 0 waits for a member that does not answer.
    pub stalled: bool,
    pub leaving: bool,
    pub lose_order_answers: u32,
}

/// One engine.
pub(super) struct EngineCore {
    pub cfg: EngineConfig,
    pub gate: Gate,
    pub slots: Arc<SlotQueue>,
    pub state: Mutex<EngineState>,
    pub cache: Mutex<PrefixCache>,
    pub stats: Mutex<EngineStats>,
    pub condition: Mutex<Condition>,
    pub requests: Mutex<SessionRegistry>,
    load: Mutex<LaggedLoad>,
    kv_used: Mutex<u64>,
    sequence: Mutex<u64>,
    cut: Mutex<CancellationToken>,
    started: Instant,
}

impl EngineCore {
    pub fn new(cfg: EngineConfig, gate: Gate) -> Self {
        let state = EngineState::new(cfg.host.clone(), cfg.checks_fencing, new_incarnation());
        Self {
            gate,
            slots: SlotQueue::new(cfg.slots),
            state: Mutex::new(state),
            cache: Mutex::new(PrefixCache::new(
                cfg.cache_blocks,
                cfg.cache_lag,
                cfg.cache_gap_every,
            )),
            stats: Mutex::default(),
            condition: Mutex::new(Condition {
                paused_until: None,
                straggle_factor: 1.0,
                group_factor: 1.0,
                stalled: false,
                leaving: false,
                lose_order_answers: 0,
            }),
            requests: Mutex::default(),
            load: Mutex::new(LaggedLoad::new(cfg.report_lag)),
            kv_used: Mutex::default(),
            sequence: Mutex::default(),
            cut: Mutex::default(),
            started: Instant::now(),
            cfg,
        }
    }

    /// Returns the time since the engine's process began.
    pub fn now(&self) -> Timestamp {
        Timestamp(0) + self.started.elapsed()
    }

    /// Returns the report; its load figures lag.
    pub fn report(&self) -> EngineReport {
        let now = self.now();
        let load = self.load.lock().told(now);
        let sequence = {
            let mut sequence = self.sequence.lock();
            *sequence += 1;
            *sequence
        };
        let leaving = self.condition.lock().leaving;
        let mut state = self.state.lock();
        state.advance(self.cfg.warm_after, now);
        EngineReport {
            host: self.cfg.host.clone(),
            incarnation: state.incarnation(),
            sequence,
            fencing: state.fencing(),
            assignment: state.assignment(),
            phase: state.phase(),
            leaving,
            running: load.running,
            waiting: load.waiting,
            kv_free_tokens: self
                .cfg
                .kv_capacity_tokens
                .saturating_sub(load.kv_used_tokens),
        }
    }

    /// Follows an order.
    pub fn follow(&self, order: &Order) -> Result<(), OrderRefusal> {
        let outcome = self
            .state
            .lock()
            .follow(order, self.cfg.load_time, self.now());
        let mut stats = self.stats.lock();
        match &outcome {
            Ok(_) => stats.orders_followed += 1,
            Err(OrderRefusal::StaleFencing(_)) => stats.orders_stale += 1,
            Err(OrderRefusal::WrongHost(_)) => {}
        }
        drop(stats);
        if outcome? {
            self.cache.lock().clear(self.now());
            self.cut_streams();
        }
        Ok(())
    }

    /// Returns how far the engine is now.
    pub fn phase(&self) -> EnginePhase {
        let mut state = self.state.lock();
        state.advance(self.cfg.warm_after, self.now());
        state.phase()
    }

    /// Loses everything, as a crash and restart do.
    pub fn fail_over(&self) {
        *self.state.lock() = EngineState::new(
            self.cfg.host.clone(),
            self.cfg.checks_fencing,
            new_incarnation(),
        );
        *self.sequence.lock() = 0;
        self.cache.lock().reset();
        self.cut_streams();
    }

    /// Ends the replica because a member is missing.
    pub fn end_replica(&self) {
        if self.state.lock().release() {
            self.stats.lock().replica_deaths += 1;
            self.cache.lock().clear(self.now());
            self.cut_streams();
        }
    }

    /// Turns cold without an order.
    pub fn forget(&self) {
        self.state.lock().turn_cold();
        self.cache.lock().clear(self.now());
    }

    /// Cuts every stream without an end marker.
    pub fn cut_streams(&self) {
        let cut = std::mem::take(&mut *self.cut.lock());
        cut.cancel();
    }

    /// Returns the signal that cuts the streams of now.
    pub fn cut_signal(&self) -> CancellationToken {
        self.cut.lock().clone()
    }

    /// Takes note of a change of the load.
    pub fn record_load(&self) {
        let (running, waiting) = self.slots.load();
        let sample = LoadSample {
            running,
            waiting,
            kv_used_tokens: *self.kv_used.lock(),
        };
        self.load.lock().record(sample, self.now());
    }

    /// Adds to or takes from the tokens in the KV cache.
    pub fn change_kv(&self, added: u64, removed: u64) {
        let mut used = self.kv_used.lock();
        *used = used.saturating_add(added).saturating_sub(removed);
    }

    /// Returns the present time per token.
    pub fn token_time(&self) -> Duration {
        let factor = {
            let condition = self.condition.lock();
            condition.straggle_factor.max(condition.group_factor)
        };
        let (running, _) = self.slots.load();
        let crowding = f64::from(running) / f64::from(self.cfg.batch_capacity.max(1));
        self.cfg.token_time.mul_f64(factor * crowding.max(1.0))
    }

    /// Waits while the engine is paused.
    pub async fn wait_unpaused(&self) {
        loop {
            let paused_until = self.condition.lock().paused_until;
            match paused_until {
                Some(until) if until > Instant::now() => {
                    tokio::time::sleep_until(until.into()).await;
                }
                _ => return,
            }
        }
    }

    /// Waits while the engine or a member that it needs is paused.
    pub async fn wait_moving(&self) {
        self.wait_unpaused().await;
        while self.condition.lock().stalled {
            tokio::time::sleep(STALL_POLL).await;
        }
    }

    /// Returns the counts.
    pub fn stats(&self) -> EngineStats {
        EngineStats {
            peak_concurrent: self.slots.peak(),
            ..self.stats.lock().clone()
        }
    }

    /// Puts a fault into force.
    pub fn set_fault(&self, fault: &EngineFault) {
        {
            let mut condition = self.condition.lock();
            if let Some(millis) = fault.pause_ms {
                condition.paused_until = Some(Instant::now() + Duration::from_millis(millis));
            }
            if let Some(factor) = fault.straggle_factor {
                condition.straggle_factor = factor.max(0.0);
            }
            if let Some(leaving) = fault.leaving {
                condition.leaving = leaving;
            }
            if let Some(n) = fault.lose_order_answers {
                condition.lose_order_answers = n;
            }
        }
        if fault.forget {
            self.forget();
        }
        if fault.fail_over {
            self.fail_over();
        }
        if fault.cut_streams {
            self.cut_streams();
        }
        if let Some(connections) = fault.connections {
            self.gate.set(connections);
        }
    }
}

/// Returns a number that no other run of an engine has.
fn new_incarnation() -> Incarnation {
    // The upper bits grow with time, so that a person can tell a later run.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |since| since.as_millis() as u64);
    let random = SmallRng::from_os_rng().random_range(0..1 << RANDOM_BITS);
    Incarnation(((millis << RANDOM_BITS) | random) & ((1 << INCARNATION_BITS) - 1))
}
