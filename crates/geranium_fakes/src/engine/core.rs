//! What the calls of one engine share.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use geranium_core::engine::{EnginePhase, EngineReport, LoadOrder, Order};
use geranium_core::id::Incarnation;
use geranium_core::time::Timestamp;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio_util::sync::CancellationToken;

use super::condition::Condition;
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
            condition: Mutex::default(),
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

    /// Ends the replica that follows an order because a member is missing.
    pub fn end_replica(&self, order: &LoadOrder) {
        let ended = {
            let mut state = self.state.lock();
            state.load_order() == Some(order) && state.release()
        };
        if ended {
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

    /// Waits while the engine is paused; returns whether it was.
    pub async fn wait_unpaused(&self) -> bool {
        let mut waited = false;
        loop {
            let paused_until = self.condition.lock().paused_until;
            match paused_until {
                Some(until) if until > Instant::now() => {
                    waited = true;
                    tokio::time::sleep_until(until.into()).await;
                }
                _ => return waited,
            }
        }
    }

    /// Waits while the engine or a member that it needs is paused; returns
    /// whether one was.
    pub async fn wait_moving(&self) -> bool {
        let mut waited = self.wait_unpaused().await;
        while self.condition.lock().stalled {
            waited = true;
            tokio::time::sleep(STALL_POLL).await;
        }
        waited
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
        self.condition.lock().set(fault);
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
