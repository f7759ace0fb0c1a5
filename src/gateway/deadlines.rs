//! The gateway's own deadlines, and their form in the core's queue.

use slotmap::{Key, KeyData};

use super::ConnKey;
use crate::core::ExternalDeadline;

/// What falls due at a deadline of the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GatewayDeadline {
    /// A connection has been idle, or within an exchange, for as long as it may.
    Connection(ConnKey),
    /// Service discovery is connected to again.
    DiscoveryReconnect,
    /// The listeners are closed, as the gateway drains.
    StopAccepting,
    /// The listeners are accepted from again after a lack of room.
    AcceptRetry,
    /// The tenants' bundle is loaded again.
    BundleReload,
    /// The next delivery to an endpoint, or the time-out of one.
    Delivery,
    /// The next pass of retention over the store.
    Retention,
    /// The gossip driver's next step.
    Gossip,
    /// The operator console is accepted from again.
    ConsoleAcceptRetry,
    /// The next look at other processes of the same gateway.
    HotRestart,
    /// The consensus driver's next step.
    Consensus,
    /// The next health check on behalf of the fleet.
    HealthChecks,
    /// The next step of load coordination.
    LoadCoordination,
    /// The replication driver's next step.
    Replication,
    /// The tenant driver's next step.
    Tenants,
}

/// [`ExternalDeadline::kind`] of connections' deadlines; the number is the connection's slot.
const CONNECTION_KIND: u8 = 0;
/// [`ExternalDeadline::kind`] of deadlines that exist once; the number is the place in [`SINGLE_DEADLINES`].
const SINGLE_KIND: u8 = 2;

/// The deadlines that exist once. Their order is that in which deadlines of one instant fall due.
const SINGLE_DEADLINES: [GatewayDeadline; 14] = [
    GatewayDeadline::DiscoveryReconnect,
    GatewayDeadline::StopAccepting,
    GatewayDeadline::AcceptRetry,
    GatewayDeadline::BundleReload,
    GatewayDeadline::Delivery,
    GatewayDeadline::Retention,
    GatewayDeadline::Gossip,
    GatewayDeadline::ConsoleAcceptRetry,
    GatewayDeadline::HotRestart,
    GatewayDeadline::Consensus,
    GatewayDeadline::HealthChecks,
    GatewayDeadline::LoadCoordination,
    GatewayDeadline::Replication,
    GatewayDeadline::Tenants,
];

impl From<GatewayDeadline> for ExternalDeadline {
    fn from(deadline: GatewayDeadline) -> ExternalDeadline {
        if let GatewayDeadline::Connection(key) = deadline {
            return ExternalDeadline {
                kind: CONNECTION_KIND,
                number: key.data().as_ffi(),
            };
        }
        let place = SINGLE_DEADLINES
            .iter()
            .position(|single| *single == deadline);
        ExternalDeadline {
            kind: SINGLE_KIND,
            // Every deadline but a connection's is listed, which a test checks.
            number: place.unwrap_or(SINGLE_DEADLINES.len()) as u64,
        }
    }
}

impl From<ExternalDeadline> for GatewayDeadline {
    fn from(deadline: ExternalDeadline) -> GatewayDeadline {
        let single = match deadline.kind {
            SINGLE_KIND => SINGLE_DEADLINES.get(deadline.number as usize),
            _ => None,
        };
        single.copied().unwrap_or(GatewayDeadline::Connection(
            KeyData::from_ffi(deadline.number).into(),
        ))
    }
}

#[cfg(test)]
mod tests;
