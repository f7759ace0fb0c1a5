//! Addresses that callbacks may go to: allowed and denied networks. The longest matching prefix
//! decides.

use std::net::IpAddr;

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

/// Networks that are denied unless a prefix of equal or greater length is allowed: this network,
/// link-local (where clouds serve the credentials of their machines), multicast, private and
/// shared ranges, documentation and reserved addresses (RFC 6890 and the registries that it set
/// up). Loopback is allowed, because portals on the gateway's machine are common; an operator can
/// deny it.
const DENIED: [&str; 20] = [
    "0.0.0.0/8",
    "10.0.0.0/8",
    "100.64.0.0/10",
    "169.254.0.0/16",
    "172.16.0.0/12",
    "192.0.0.0/24",
    "192.0.2.0/24",
    "192.168.0.0/16",
    "198.18.0.0/15",
    "198.51.100.0/24",
    "203.0.113.0/24",
    "224.0.0.0/4",
    "240.0.0.0/4",
    "::/128",
    "100::/64",
    "2001:db8::/32",
    "64:ff9b::/96",
    "fc00::/7",
    "fe80::/10",
    "ff00::/8",
];

/// Networks that callbacks may be sent to.
#[derive(Clone, Debug)]
pub struct EgressPolicy {
    v4: PrefixMap<Ipv4Net, bool>,
    v6: PrefixMap<Ipv6Net, bool>,
}

impl Default for EgressPolicy {
    fn default() -> EgressPolicy {
        EgressPolicy::new(&[], &[])
    }
}

impl EgressPolicy {
    /// Creates a policy of the default networks and further allowed and denied ones. If the same
    /// prefix is in both lists, it is denied.
    pub fn new(allow: &[IpNet], deny: &[IpNet]) -> EgressPolicy {
        let mut policy = EgressPolicy {
            v4: PrefixMap::new(),
            v6: PrefixMap::new(),
        };
        let defaults = DENIED.iter().filter_map(|n| n.parse::<IpNet>().ok());
        defaults.for_each(|n| policy.set(n, false));
        allow.iter().for_each(|n| policy.set(*n, true));
        deny.iter().for_each(|n| policy.set(*n, false));
        policy
    }

    fn set(&mut self, net: IpNet, allowed: bool) {
        match net {
            IpNet::V4(n) => self.v4.insert(n.trunc(), allowed),
            IpNet::V6(n) => self.v6.insert(n.trunc(), allowed),
        };
    }

    /// Returns whether callbacks may be sent to an address. An IPv4-mapped IPv6 address follows the
    /// rules of its IPv4 address.
    pub fn allows(&self, address: IpAddr) -> bool {
        match address.to_canonical() {
            IpAddr::V4(a) => self
                .v4
                .get_lpm(&Ipv4Net::from(a))
                .is_none_or(|(_, allowed)| *allowed),
            IpAddr::V6(a) => self
                .v6
                .get_lpm(&Ipv6Net::from(a))
                .is_none_or(|(_, allowed)| *allowed),
        }
    }
}

#[cfg(test)]
mod tests;
