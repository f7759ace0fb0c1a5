//! Which gateway of a group takes a tenant's signed calls.
//!
//! A replay can be refused only by a gateway that knows what was taken. Gateways that share the
//! identities of taken calls take every call. Otherwise each tenant has one gateway that takes its
//! calls, its home, which all gateways derive from their settings alone.

use std::collections::BTreeMap;

/// This gateway's place in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPlace {
    /// The gateway's number; `None` if its settings do not have one.
    pub number: Option<u32>,
    /// The number of gateways.
    pub size: u32,
}

/// The homes of tenants, by gateway number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeGateways {
    /// The home of a tenant that `by_tenant` does not name.
    pub default: u32,
    /// The homes of single tenants.
    pub by_tenant: BTreeMap<String, u32>,
}

impl HomeGateways {
    /// Returns the home of a tenant. Other tenants, and the size of the group, do not change it.
    pub fn of(&self, tenant: &str) -> u32 {
        *self.by_tenant.get(tenant).unwrap_or(&self.default)
    }

    /// Returns the largest number of a home.
    pub fn max(&self) -> u32 {
        let homes = self.by_tenant.values().copied();
        homes.fold(self.default, u32::max)
    }
}

/// What a group's gateways know of the calls that the others took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedIdentities {
    /// All identities, as every call is committed where its identity is kept for all gateways.
    Replicated,
    /// Those in a file, if all gateways are registered in it.
    ByFile,
}

/// The rule by which a gateway takes signed calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeRule {
    /// This gateway's place.
    pub place: GroupPlace,
    /// The homes of tenants.
    pub homes: HomeGateways,
    /// What the gateways share.
    pub shared: SharedIdentities,
}

impl TakeRule {
    /// Returns the number of the gateway that takes a tenant's calls, if that is not this one.
    /// `has_all_members` tells whether all gateways are registered in the file of identities.
    pub fn other_home(&self, tenant: &str, has_all_members: bool) -> Option<u32> {
        let is_shared = match self.shared {
            SharedIdentities::Replicated => true,
            SharedIdentities::ByFile => has_all_members,
        };
        let home = self.homes.of(tenant);
        let takes = self.place.size <= 1 || is_shared || self.place.number == Some(home);
        (!takes).then_some(home)
    }
}

#[cfg(test)]
mod tests;
