//! The council and its duties as an operator sees them, and the exchange of voters.

use serde::Deserialize;
use serde_json::Value;

use super::{body, Change, Context, Done, Handled};
use crate::front::http::{plain, Bad, Request};
use crate::membership::is_name;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Exchange {
    /// Who is to vote; it has a seat and follows.
    joins: Option<String>,
    /// Who is to vote no more.
    leaves: Option<String>,
}

fn on(view: &mut Value) -> Result<Value, Bad> {
    match view.take() {
        Value::Null => Err(plain(404, "the council is off")),
        view => Ok(view),
    }
}

/// What can be seen.
pub fn show(cx: &mut Context<'_>) -> Result<Done, Bad> {
    Ok(Done::Now(Handled::new(200, on(&mut cx.fleet)?)))
}

/// One gateway votes from now on, or another no more; one change at a time, the one who comes first.
pub fn exchange(r: &Request<'_>, cx: &mut Context<'_>) -> Result<Handled, Bad> {
    let view = on(&mut cx.fleet)?;
    let Exchange { joins, leaves } = body(r, "not an exchange of voters")?;
    if joins.iter().chain(&leaves).any(|n| !is_name(n)) || joins.is_none() && leaves.is_none() {
        return Err(plain(
            422,
            "names of gateways: who joins, who leaves, or both",
        ));
    }
    if view["leads"] != true {
        return Err(plain(
            409,
            "this gateway does not lead the council; 'leader' in GET /v1/council does",
        ));
    }
    let votes = |n: &String| {
        view["voters"]
            .as_object()
            .is_some_and(|v| v.contains_key(n))
    };
    if leaves.as_ref().is_some_and(|n| !votes(n)) {
        return Err(plain(422, "who is to leave does not vote"));
    }
    if joins
        .as_ref()
        .is_some_and(|n| view["seats"].get(n).is_none())
    {
        return Err(plain(
            409,
            "who is to join has no seat, or does not follow here",
        ));
    }
    let mut handled = Handled::new(202, view);
    handled.changes.push(Change::Voters { joins, leaves });
    Ok(handled)
}
