//! The gateway's deadlines in the core's queue.

use slotmap::SlotMap;

use super::*;

#[test]
fn single_deadlines_keep_their_queue_numbers() {
    let expected = [
        (GatewayDeadline::DiscoveryReconnect, 0),
        (GatewayDeadline::StopAccepting, 1),
        (GatewayDeadline::AcceptRetry, 2),
        (GatewayDeadline::BundleReload, 3),
        (GatewayDeadline::Delivery, 4),
        (GatewayDeadline::Retention, 5),
        (GatewayDeadline::Gossip, 6),
        (GatewayDeadline::ConsoleAcceptRetry, 7),
        (GatewayDeadline::HotRestart, 8),
        (GatewayDeadline::Consensus, 9),
        (GatewayDeadline::HealthChecks, 10),
        (GatewayDeadline::LoadCoordination, 11),
        (GatewayDeadline::Replication, 12),
        (GatewayDeadline::Tenants, 13),
        (GatewayDeadline::FormerTenants, 14),
    ];
    assert_eq!(expected.len(), SINGLE_DEADLINES.len());
    for (deadline, number) in expected {
        let external = ExternalDeadline { kind: 2, number };
        assert_eq!(ExternalDeadline::from(deadline), external, "{deadline:?}");
        assert_eq!(GatewayDeadline::from(external), deadline);
    }
}

#[test]
fn connection_deadlines_come_back_with_their_key() {
    let mut slots: SlotMap<ConnKey, ()> = SlotMap::with_key();
    let first = slots.insert(());
    slots.remove(first);
    let reused_slot = slots.insert(());
    for key in [first, reused_slot] {
        let external = ExternalDeadline::from(GatewayDeadline::Connection(key));
        assert_eq!(external.kind, 0, "connections fall due before the others");
        assert_eq!(
            GatewayDeadline::from(external),
            GatewayDeadline::Connection(key)
        );
    }
}
