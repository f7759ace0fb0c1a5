//! Names used by the wire protocols, in the order of the decision module's settings.

use crate::api::Micros;

/// Names used by the wire protocols. A name's index in its list is its id in the decision module's settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The class names.
    pub classes: Vec<String>,
    /// The tenant names.
    pub tenants: Vec<String>,
    /// The zone names.
    pub zones: Vec<String>,
    /// The maximum deadline of a call, indexed by class; a call that states a longer one is rejected.
    pub max_deadlines: Vec<Micros>,
}

impl Names {
    /// Returns the index of a name in a list.
    pub fn index_of(list: &[String], name: &str) -> Option<usize> {
        list.iter().position(|n| n == name)
    }
}
