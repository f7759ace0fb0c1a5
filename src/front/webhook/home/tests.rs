//! Tests of the rule by which gateways take signed calls.

use proptest::prelude::*;

use super::*;
use crate::config::Operator;

fn rule(number: Option<u32>, size: u32, homes: HomeGateways) -> TakeRule {
    TakeRule {
        place: GroupPlace { number, size },
        homes,
        shared: SharedIdentities::ByFile,
    }
}

#[test]
fn gateway_without_number_takes_calls_only_alone() {
    let homes = HomeGateways::default();
    assert_eq!(rule(None, 1, homes.clone()).other_home("t", false), None);
    assert_eq!(rule(None, 2, homes.clone()).other_home("t", false), Some(0));
    assert_eq!(rule(None, 2, homes).other_home("t", true), None);
}

#[test]
fn home_outside_the_group_is_rejected() {
    let place = GroupPlace {
        number: Some(0),
        size: 3,
    };
    let homes_of = |line: &str| {
        let text = format!("[webhooks]\nlisten = \"127.0.0.1:0\"\n{line}\n");
        let operator = Operator::parse(&text).expect("an operator's file");
        operator.webhooks.expect("webhooks").home_gateways(place)
    };
    assert_eq!(homes_of("home = 2").unwrap().of("t"), 2);
    for line in ["home = 3", "homes = { t = 3 }"] {
        let error = homes_of(line).unwrap_err().to_string();
        assert_eq!(error, "webhooks.home = '3 in a group of 3' cannot be used");
    }
}

proptest! {
    /// Without shared identities exactly one gateway takes a tenant's calls, the same one in a group
    /// of any size and beside any other tenants.
    #[test]
    fn one_gateway_of_a_group_takes_a_tenants_calls(
        default in 0u32..4,
        named in proptest::collection::btree_map("[a-d]", 0u32..4, 0..4),
        tenant in "[a-f]",
        size in 4u32..12,
    ) {
        let homes = HomeGateways { default, by_tenant: named };
        let takes = |number: u32| rule(Some(number), size, homes.clone()).other_home(&tenant, false).is_none();
        let taking: Vec<u32> = (0..size).filter(|number| takes(*number)).collect();
        prop_assert_eq!(taking, vec![homes.of(&tenant)]);
        let mut without_others = homes.clone();
        without_others.by_tenant.retain(|name, _| *name == tenant);
        prop_assert_eq!(without_others.of(&tenant), homes.of(&tenant));
    }
}
