//! Which addresses callbacks may go to: allowed and denied networks, the longest prefix deciding.

use std::net::IpAddr;

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

/// What is denied unless a longer or equal prefix is allowed: this network, link-local (where clouds keep their
/// machines' credentials), multicast, private and shared ranges, documentation and reserved addresses
/// (RFC 6890 and the registries that it set up). Loopback is not: portals beside the gateway are usual, and an
/// operator who wants it closed denies it.
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

/// The networks that portals may be in.
#[derive(Clone, Debug)]
pub struct Networks {
    v4: PrefixMap<Ipv4Net, bool>,
    v6: PrefixMap<Ipv6Net, bool>,
}

impl Default for Networks {
    fn default() -> Networks {
        Networks::new(&[], &[])
    }
}

impl Networks {
    /// The defaults, with these allowed and these denied besides. Of two equal prefixes the denied one counts.
    pub fn new(allow: &[IpNet], deny: &[IpNet]) -> Networks {
        let mut networks = Networks {
            v4: PrefixMap::new(),
            v6: PrefixMap::new(),
        };
        let standard = DENIED.iter().filter_map(|n| n.parse::<IpNet>().ok());
        standard.for_each(|n| networks.set(n, false));
        allow.iter().for_each(|n| networks.set(*n, true));
        deny.iter().for_each(|n| networks.set(*n, false));
        networks
    }

    fn set(&mut self, net: IpNet, allowed: bool) {
        match net {
            IpNet::V4(n) => self.v4.insert(n.trunc(), allowed),
            IpNet::V6(n) => self.v6.insert(n.trunc(), allowed),
        };
    }

    /// Whether a callback may go there. An IPv4 address written as IPv6 is judged as what it is.
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
