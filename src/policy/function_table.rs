//! The known functions, bounded: clients may name any number of functions.
//!
//! Once there are too many functions, the oldest that was never served is forgotten for each new
//! one. If there is none, the oldest goes that was called once only. A function stays while a
//! request or a load of it is under way.

use std::collections::{BTreeMap, VecDeque};
use std::ops::{Deref, DerefMut};

use super::function::FunctionState;
use crate::api::FunctionId;

/// Maximum number of functions of each kind that are examined for each new function.
const MAX_EXAMINED: usize = 16;

/// The functions by their ids, and the order in which those without an answer became known.
#[derive(Debug, Default)]
pub(super) struct FunctionTable {
    functions: BTreeMap<FunctionId, FunctionState>,
    /// Functions that had no answer when last examined, oldest first. It may have ids that are
    /// no longer in `functions`.
    unserved: VecDeque<FunctionId>,
    /// Functions that were found to be served, in the order in which they are examined next. It may
    /// have ids that are no longer in `functions`.
    served: VecDeque<FunctionId>,
    /// `None` if the number of functions is not limited.
    max_functions: Option<usize>,
}

impl FunctionTable {
    /// Creates a table for at most `max_functions` functions, and those with requests under way
    /// beyond that.
    pub(super) fn with_limit(max_functions: Option<usize>) -> FunctionTable {
        FunctionTable {
            max_functions,
            ..FunctionTable::default()
        }
    }

    /// Returns a function, which is created on its first request.
    pub(super) fn get_or_create(&mut self, id: FunctionId) -> &mut FunctionState {
        let unserved = &mut self.unserved;
        self.functions.entry(id).or_insert_with(|| {
            unserved.push_back(id);
            FunctionState::first_seen()
        })
    }

    /// Removes a function if there is no room for another one; returns it.
    pub(super) fn make_room(&mut self) -> Option<(FunctionId, FunctionState)> {
        let max_functions = self.max_functions?;
        if self.functions.len() < max_functions {
            return None;
        }
        let id = self
            .next_unserved()
            .or_else(|| self.next_of_single_call())?;
        self.functions.remove(&id).map(|function| (id, function))
    }

    /// Takes the oldest function that was never served and has nothing under way.
    fn next_unserved(&mut self) -> Option<FunctionId> {
        for _ in 0..MAX_EXAMINED.min(self.unserved.len()) {
            let id = self.unserved.pop_front()?;
            match self.functions.get(&id) {
                None => {}
                Some(function) if function.was_served() => self.served.push_back(id),
                Some(function) if function.is_busy() => self.unserved.push_back(id),
                Some(_) => return Some(id),
            }
        }
        None
    }

    /// Takes the next function that was served, was called once at most in the last two intervals,
    /// and has nothing under way.
    fn next_of_single_call(&mut self) -> Option<FunctionId> {
        for _ in 0..MAX_EXAMINED.min(self.served.len()) {
            let id = self.served.pop_front()?;
            match self.functions.get(&id) {
                None => {}
                Some(function) if function.is_busy() || function.was_called_again() => {
                    self.served.push_back(id);
                }
                Some(_) => return Some(id),
            }
        }
        None
    }

    /// Forgets the functions that have not been in use for a while.
    pub(super) fn forget_unused(&mut self) {
        self.functions.retain(|_, function| function.is_in_use());
        let functions = &self.functions;
        for order in [&mut self.unserved, &mut self.served] {
            order.retain(|id| functions.contains_key(id));
            order.shrink_to(functions.len());
        }
    }
}

impl Deref for FunctionTable {
    type Target = BTreeMap<FunctionId, FunctionState>;

    fn deref(&self) -> &Self::Target {
        &self.functions
    }
}

impl DerefMut for FunctionTable {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.functions
    }
}

#[cfg(test)]
#[path = "../../tests/policy/function_table.rs"]
mod tests;
