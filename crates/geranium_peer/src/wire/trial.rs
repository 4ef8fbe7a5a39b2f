//! Trials of requests that are suspected to crash backend servers.

use geranium_core::id::Incarnation;
use geranium_core::limit::{TrialGrant, TrialRefusal, TrialRequest};
use geranium_core::time::Timestamp;

use super::crash::read_fingerprint;
use super::parse;
use crate::peer_capnp;

pub(crate) fn write_trial_request(
    mut to: peer_capnp::trial_request::Builder<'_>,
    request: &TrialRequest,
) {
    to.set_user(request.user.as_str());
    to.set_incarnation(request.incarnation.0);
    to.set_group(request.group.as_str());
    to.set_fingerprint(&request.fingerprint.0);
    to.set_asked_at(request.asked_at.0);
}

pub(crate) fn read_trial_request(
    from: peer_capnp::trial_request::Reader<'_>,
) -> capnp::Result<TrialRequest> {
    Ok(TrialRequest {
        user: parse(from.get_user())?,
        incarnation: Incarnation(from.get_incarnation()),
        group: parse(from.get_group())?,
        fingerprint: read_fingerprint(from.get_fingerprint())?,
        asked_at: Timestamp(from.get_asked_at()),
    })
}

pub(crate) fn write_trial_answer(
    mut to: peer_capnp::trial_answer::Builder<'_>,
    answer: &Result<TrialGrant, TrialRefusal>,
) {
    match answer {
        Ok(grant) => to.set_expires(grant.expires.0),
        Err(TrialRefusal::NotHolder) => to.set_not_holder(()),
        Err(TrialRefusal::Waiting(until)) => to.set_waiting(until.0),
        Err(TrialRefusal::Busy(group, until)) => {
            let mut to = to.init_busy();
            to.set_group(group.as_str());
            to.set_until(until.0);
        }
    }
}

pub(crate) fn read_trial_answer(
    from: peer_capnp::trial_answer::Reader<'_>,
) -> capnp::Result<Result<TrialGrant, TrialRefusal>> {
    use peer_capnp::trial_answer::Which;

    Ok(match from.which()? {
        Which::Expires(expires) => Ok(TrialGrant {
            expires: Timestamp(expires),
        }),
        Which::NotHolder(()) => Err(TrialRefusal::NotHolder),
        Which::Waiting(until) => Err(TrialRefusal::Waiting(Timestamp(until))),
        Which::Busy(busy) => {
            let busy = busy?;
            let until = Timestamp(busy.get_until());
            Err(TrialRefusal::Busy(parse(busy.get_group())?, until))
        }
    })
}
