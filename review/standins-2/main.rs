//! The stand-ins and the judges of the cases 6 to 10 of the review.

#![allow(dead_code)]

mod common;
mod hooks;
mod keyed_refusal;
mod moved_identities;
mod net;
mod other_gateway;
mod removed_tenant;
mod unsent_callback;
mod site;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    match (arguments.get(1).map(String::as_str), arguments.get(2)) {
        (Some("keyed-refusal"), Some(record)) => keyed_refusal::run(record),
        (Some("unsent-callback"), Some(record)) => unsent_callback::run(record),
        (Some("removed-tenant"), Some(record)) => removed_tenant::run(record),
        (Some("moved-identities"), Some(record)) => moved_identities::run(record),
        (Some("other-gateway"), Some(record)) => other_gateway::run(record),
        _ => std::process::exit(common::COULD_NOT_RUN),
    }
}
