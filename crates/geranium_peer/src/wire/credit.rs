//! Cold-start credits.

use geranium_core::id::Incarnation;
use geranium_core::limit::{CreditGrant, CreditRefusal, CreditRequest};
use geranium_core::time::Timestamp;

use super::parse;
use crate::peer_capnp;

pub(crate) fn write_credit_request(
    mut to: peer_capnp::credit_request::Builder<'_>,
    request: &CreditRequest,
) {
    to.set_user(request.user.as_str());
    to.set_incarnation(request.incarnation.0);
    to.set_group(request.group.as_str());
    to.set_generation(request.generation);
    to.set_sequence(request.sequence);
    to.set_in_use(request.in_use);
    to.set_keep(request.keep);
    to.set_wanted(request.wanted);
    to.set_successes(request.successes);
    to.set_failures(request.failures);
    to.set_marked(request.marked);
    to.set_marks(request.marks);
    to.set_asked_at(request.asked_at.0);
}

pub(crate) fn read_credit_request(
    from: peer_capnp::credit_request::Reader<'_>,
) -> capnp::Result<CreditRequest> {
    Ok(CreditRequest {
        user: parse(from.get_user())?,
        incarnation: Incarnation(from.get_incarnation()),
        group: parse(from.get_group())?,
        generation: from.get_generation(),
        sequence: from.get_sequence(),
        in_use: from.get_in_use(),
        keep: from.get_keep(),
        wanted: from.get_wanted(),
        successes: from.get_successes(),
        failures: from.get_failures(),
        marked: from.get_marked(),
        marks: from.get_marks(),
        asked_at: Timestamp(from.get_asked_at()),
    })
}

pub(crate) fn write_credit_answer(
    mut to: peer_capnp::credit_answer::Builder<'_>,
    answer: &Result<CreditGrant, CreditRefusal>,
) {
    match answer {
        Ok(grant) => write_grant(to.init_granted(), grant),
        Err(CreditRefusal::NotHolder) => to.set_not_holder(()),
        Err(CreditRefusal::Waiting(until)) => to.set_waiting(until.0),
        Err(CreditRefusal::UnknownGroup(group)) => to.set_unknown_group(group.as_str()),
        Err(CreditRefusal::OtherGeneration(group, asked, known)) => {
            let mut to = to.init_other_generation();
            to.set_group(group.as_str());
            to.set_asked(*asked);
            to.set_known(*known);
        }
        Err(CreditRefusal::StaleRequest(user, sequence)) => {
            let mut to = to.init_stale_request();
            to.set_user(user.as_str());
            to.set_sequence(*sequence);
        }
    }
}

pub(crate) fn read_credit_answer(
    from: peer_capnp::credit_answer::Reader<'_>,
) -> capnp::Result<Result<CreditGrant, CreditRefusal>> {
    use peer_capnp::credit_answer::Which;

    let refusal = match from.which()? {
        Which::Granted(grant) => return Ok(Ok(read_grant(grant?)?)),
        Which::NotHolder(()) => CreditRefusal::NotHolder,
        Which::Waiting(until) => CreditRefusal::Waiting(Timestamp(until)),
        Which::UnknownGroup(group) => CreditRefusal::UnknownGroup(parse(group)?),
        Which::OtherGeneration(other) => {
            let other = other?;
            let group = parse(other.get_group())?;
            CreditRefusal::OtherGeneration(group, other.get_asked(), other.get_known())
        }
        Which::StaleRequest(stale) => {
            let stale = stale?;
            CreditRefusal::StaleRequest(parse(stale.get_user())?, stale.get_sequence())
        }
    };
    Ok(Err(refusal))
}

fn write_grant(mut to: peer_capnp::credit_grant::Builder<'_>, grant: &CreditGrant) {
    to.set_group(grant.group.as_str());
    to.set_generation(grant.generation);
    to.set_sequence(grant.sequence);
    to.set_credits(grant.credits);
    to.set_asked_at(grant.asked_at.0);
    to.set_warm(grant.warm);
}

fn read_grant(from: peer_capnp::credit_grant::Reader<'_>) -> capnp::Result<CreditGrant> {
    Ok(CreditGrant {
        group: parse(from.get_group())?,
        generation: from.get_generation(),
        sequence: from.get_sequence(),
        credits: from.get_credits(),
        asked_at: Timestamp(from.get_asked_at()),
        warm: from.get_warm(),
    })
}
