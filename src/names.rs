//! Names that the wires use, by their places in the module's settings.

use crate::api::Micros;

/// Names that the wires use, by their places in the module's settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// The longest that a client waits, by class; a call that asks for more is not one of ours.
    pub longest: Vec<Micros>,
}

impl Names {
    /// The place of a name in a list.
    pub fn place(list: &[String], name: &str) -> Option<usize> {
        list.iter().position(|n| n == name)
    }
}
