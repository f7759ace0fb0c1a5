//! How many clients may be connected, and how many are.

use super::ListenerKind;

/// One descriptor in so many is for clients; the others stay free for workers, service discovery, the operator console,
/// files and the event loop, whatever clients do.
const DESCRIPTORS_PER_CLIENT: usize = 2;
/// Slots for clients, however few descriptors there are.
const MIN_CLIENTS: usize = 8;
/// One client slot in so many is for the secondary listeners, if there are any.
const CLIENTS_PER_SECONDARY_CLIENT: usize = 4;

/// The slots of connected clients. The platform's clients keep theirs whatever comes to the secondary listeners.
#[derive(Debug, Default)]
pub(super) struct ClientSlots {
    /// Whether there are secondary listeners.
    has_secondary: bool,
    max_clients: usize,
    max_secondary: usize,
    clients: usize,
    /// Connected clients of the secondary listeners.
    secondary: usize,
}

impl ClientSlots {
    /// Slots of a gateway with or without secondary listeners; there are none before their limit is set.
    pub(super) fn new(has_secondary: bool) -> ClientSlots {
        ClientSlots {
            has_secondary,
            ..ClientSlots::default()
        }
    }

    /// Sets how many slots there are by the descriptors that this process may hold.
    pub(super) fn set_max_descriptors(&mut self, descriptors: usize) {
        self.max_clients = (descriptors / DESCRIPTORS_PER_CLIENT).max(MIN_CLIENTS);
        self.max_secondary = if self.has_secondary {
            self.max_clients / CLIENTS_PER_SECONDARY_CLIENT
        } else {
            0
        };
    }

    /// Whether a client of a listener may be accepted.
    pub(super) fn has_free(&self, kind: ListenerKind) -> bool {
        match kind {
            ListenerKind::Platform => {
                self.clients - self.secondary < self.max_clients - self.max_secondary
            }
            ListenerKind::Webhook | ListenerKind::Admin => self.secondary < self.max_secondary,
        }
    }

    /// A client was accepted.
    pub(super) fn occupy(&mut self, kind: ListenerKind) {
        self.clients += 1;
        self.secondary += usize::from(kind.is_secondary());
    }

    /// A client's connection was closed.
    pub(super) fn release(&mut self, kind: ListenerKind) {
        self.clients -= 1;
        self.secondary -= usize::from(kind.is_secondary());
    }

    /// Whether no client is connected.
    pub(super) fn is_empty(&self) -> bool {
        self.clients == 0
    }
}

#[cfg(test)]
mod tests;
