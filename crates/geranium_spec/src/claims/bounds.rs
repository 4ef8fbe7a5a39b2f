//! Bounds of the claim model.

/// One request with the key, as a caller sends it.
#[derive(Clone, Copy, Debug)]
pub struct CallPlan {
    /// Process that receives it.
    pub process: u8,
    /// Whether it asks for something else than the first request.
    pub other_request: bool,
}

/// Bounds that keep the number of states finite and small.
#[derive(Clone, Debug)]
pub struct ClaimBounds {
    /// Name, as the check prints it.
    pub name: &'static str,
    /// Requests; the first is sent at tick zero, the others at any time.
    pub calls: Vec<CallPlan>,
    /// Last point in time, in ticks.
    pub last_tick: u8,
    /// Ticks from a request to its deadline.
    pub deadline_ticks: u8,
    /// Ticks from a claim to its latest dispatch.
    pub dispatch_ticks: u8,
    /// Ticks from the last change of a claim to its deletion.
    pub retention_ticks: u8,
    /// Store answers that get lost.
    pub lost_answers: u8,
    /// Processes that end.
    pub crashes: u8,
    /// Outages of the store.
    pub outages: u8,
    /// Connections to the service that break.
    pub broken_connections: u8,
    /// Whether the faults suffice to reach every witness.
    pub expects_witnesses: bool,
}

const fn call(process: u8) -> CallPlan {
    CallPlan {
        process,
        other_request: false,
    }
}

impl ClaimBounds {
    /// Returns bounds with one request, one resend and every kind of fault.
    #[must_use]
    pub fn every_fault() -> Self {
        Self {
            name: "claims, every fault",
            calls: vec![call(0), call(1)],
            last_tick: 3,
            deadline_ticks: 2,
            dispatch_ticks: 1,
            retention_ticks: 3,
            lost_answers: 1,
            crashes: 1,
            outages: 1,
            broken_connections: 1,
            expects_witnesses: true,
        }
    }

    /// Returns bounds without processes that end and without outages.
    #[must_use]
    pub fn lossy() -> Self {
        Self {
            name: "claims, lost answers",
            crashes: 0,
            outages: 0,
            ..Self::every_fault()
        }
    }

    /// Returns bounds with few states, for debug builds.
    #[must_use]
    pub fn lossy_prefix() -> Self {
        Self {
            name: "claims, first ticks",
            last_tick: 2,
            ..Self::lossy()
        }
    }

    /// Returns bounds with two resends and lost answers of the store.
    #[must_use]
    pub fn two_resends() -> Self {
        Self {
            name: "claims, two resends",
            calls: vec![call(0), call(1), call(0)],
            last_tick: 2,
            broken_connections: 0,
            expects_witnesses: false,
            ..Self::lossy()
        }
    }

    /// Returns bounds with another request under the same key.
    #[must_use]
    pub fn reused_key() -> Self {
        let other = CallPlan {
            process: 1,
            other_request: true,
        };
        Self {
            name: "claims, reused key",
            calls: vec![call(0), other],
            ..Self::lossy()
        }
    }
}
