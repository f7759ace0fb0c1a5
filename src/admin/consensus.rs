//! Consensus and leases in the administration API: views, and the exchange of voters.

use serde::Deserialize;
use serde_json::Value;

use super::{body, AdminResponse, Change, Context, HandleResult};
use crate::front::http::{request_error, Request, RequestError};
use crate::membership::is_name;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Exchange {
    /// The gateway to add; it has a replica and polls the leader.
    joins: Option<String>,
    /// The gateway to remove.
    leaves: Option<String>,
}

/// Takes the view; an error while consensus is off and the view is null.
fn take_view(view: &mut Value) -> Result<Value, RequestError> {
    match view.take() {
        Value::Null => Err(request_error(404, "the council is off")),
        view => Ok(view),
    }
}

/// Shows the view of consensus or of leases.
pub fn show(context: &mut Context<'_>) -> Result<HandleResult, RequestError> {
    let view = take_view(&mut context.subsystem_view)?;
    Ok(HandleResult::Now(AdminResponse::new(200, view)))
}

/// Adds a voter, removes one, or both; consensus makes one change at a time, the addition first.
pub fn exchange(
    request: &Request<'_>,
    context: &mut Context<'_>,
) -> Result<AdminResponse, RequestError> {
    let view = take_view(&mut context.subsystem_view)?;
    let exchange: Exchange = body(request, "not an exchange of voters")?;
    check_exchange(&exchange, &view)?;
    let mut handled = AdminResponse::new(202, view);
    let Exchange { joins, leaves } = exchange;
    handled.changes.push(Change::Voters { joins, leaves });
    Ok(handled)
}

fn check_exchange(exchange: &Exchange, view: &Value) -> Result<(), RequestError> {
    let Exchange { joins, leaves } = exchange;
    let are_names = joins.iter().chain(leaves).all(|name| is_name(name));
    let is_empty = joins.is_none() && leaves.is_none();
    if !are_names || is_empty {
        return Err(request_error(
            422,
            "names of gateways: who joins, who leaves, or both",
        ));
    }
    if view["leads"] != true {
        return Err(request_error(
            409,
            "this gateway does not lead the council; 'leader' in GET /v1/council does",
        ));
    }
    let is_voter = |name: &String| view["voters"].get(name).is_some();
    if leaves.as_ref().is_some_and(|name| !is_voter(name)) {
        return Err(request_error(422, "who is to leave does not vote"));
    }
    let has_replica = |name: &String| view["seats"].get(name).is_some();
    if joins.as_ref().is_some_and(|name| !has_replica(name)) {
        return Err(request_error(
            409,
            "who is to join has no seat, or does not follow here",
        ));
    }
    Ok(())
}
