//! Claims and drain notices.

use geranium_core::record::DrainTarget;

use super::{parse, text};
use crate::peer_capnp;
use crate::{ClaimState, DrainNotice};

pub(crate) fn write_claim_state(mut to: peer_capnp::claim_state::Builder<'_>, state: &ClaimState) {
    match state {
        ClaimState::Absent => to.set_absent(()),
        ClaimState::Running => to.set_running(()),
        ClaimState::Done(answer) => to.set_done(answer),
        ClaimState::Unknown => to.set_unknown(()),
    }
}

pub(crate) fn read_claim_state(
    from: peer_capnp::claim_state::Reader<'_>,
) -> capnp::Result<ClaimState> {
    use peer_capnp::claim_state::Which;

    Ok(match from.which()? {
        Which::Absent(()) => ClaimState::Absent,
        Which::Running(()) => ClaimState::Running,
        Which::Done(answer) => ClaimState::Done(answer?.to_vec()),
        Which::Unknown(()) => ClaimState::Unknown,
    })
}

pub(crate) fn write_drain_notice(
    mut to: peer_capnp::drain_notice::Builder<'_>,
    notice: &DrainNotice,
) {
    to.set_leaving(notice.leaving);
    to.set_reason(notice.reason.as_str());
    let mut target = to.init_target();
    match &notice.target {
        DrainTarget::FailureDomain(id) => target.set_failure_domain(id.as_str()),
        DrainTarget::Host(id) => target.set_host(id.as_str()),
    }
}

pub(crate) fn read_drain_notice(
    from: peer_capnp::drain_notice::Reader<'_>,
) -> capnp::Result<DrainNotice> {
    use peer_capnp::drain_notice::target::Which;

    Ok(DrainNotice {
        target: match from.get_target().which()? {
            Which::FailureDomain(id) => DrainTarget::FailureDomain(parse(id)?),
            Which::Host(id) => DrainTarget::Host(parse(id)?),
        },
        leaving: from.get_leaving(),
        reason: text(from.get_reason())?,
    })
}
