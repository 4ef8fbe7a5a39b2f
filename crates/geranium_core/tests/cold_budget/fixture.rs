//! Fixtures: groups, holders and users of credits.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::limit::{ColdBudgetHolder, ColdCreditUser, ColdSettings};
use geranium_core::prelude::*;

/// Start time of every test.
pub const START: Timestamp = Timestamp::from_millis(1_000_000);
/// Number of entry hosts.
pub const HOSTS: usize = 3;
/// Concurrent requests that a cold group can serve.
pub const BUDGET: u32 = 3;
/// Duration of the lease that gives a holder its authority.
pub const LEASE: Duration = Duration::from_secs(4);

/// Creates a cold group.
pub fn cold_group() -> ServingGroup {
    ServingGroup {
        group: GroupId::new("g1"),
        record: RecordName::new("chat"),
        served_model: ModelId::new("m"),
        failure_domain: FailureDomainId::new("d1"),
        fabric_domain: FabricDomainId::new("d1.f0"),
        head: HostId::new("h0"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        fencing: FencingNumber(1),
        generation: 1,
        temperature: Temperature::Cold,
        running: 0,
        waiting: 0,
        kv_free_tokens: 1_000,
        cold_concurrency: BUDGET,
        warm_concurrency: 24,
    }
}

/// Returns the settings shared by all holders and users.
pub fn settings() -> ColdSettings {
    ColdSettings {
        run_limit: Duration::from_hours(24),
        report_lag: Duration::ZERO,
        ..ColdSettings::default()
    }
}

/// Creates the credit user of an entry host.
pub fn user(host: usize, incarnation: u64) -> ColdCreditUser {
    let name = HostId::new(format!("e{host}"));
    ColdCreditUser::new(name, Incarnation(incarnation), settings())
}

/// Returns a holder that may grant credits and knows that no requests are running.
pub fn ready_holder(now: Timestamp) -> ColdBudgetHolder {
    let mut holder = ColdBudgetHolder::new(settings());
    let gained = now - Duration::from_secs(10);
    holder.extend_authority(gained, now + Duration::from_secs(1_000));
    holder.update_groups(gained, &[cold_group()]);
    holder.observe_load(&cold_group().group, now, 0);
    holder
}

/// Delivers the user's due requests to the holder and the answers to the user.
pub fn exchange(now: Timestamp, user: &mut ColdCreditUser, holder: &mut ColdBudgetHolder) {
    for req in user.requests_due(now) {
        if let Ok(grant) = holder.request(now, &req) {
            user.granted(now, &grant);
        }
    }
}
