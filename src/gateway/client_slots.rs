//! The limits on connected clients and their current numbers.

use super::ListenerKind;

/// One in this many descriptors is for clients; the others stay free for workers, service
/// discovery, the operator console, files and the event loop.
const DESCRIPTORS_PER_CLIENT: usize = 2;
/// Minimum number of client slots, even with few descriptors.
const MIN_CLIENTS: usize = 8;
/// One in this many client slots is for the secondary listeners, if there are any.
const CLIENTS_PER_SECONDARY_CLIENT: usize = 4;

/// The slots of connected clients. Clients of the secondary listeners cannot use the slots of the
/// platform's clients.
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
    /// Creates the slots of a gateway with or without secondary listeners. There are none until
    /// [`Self::set_max_descriptors`] is called.
    pub(super) fn new(has_secondary: bool) -> ClientSlots {
        ClientSlots {
            has_secondary,
            ..ClientSlots::default()
        }
    }

    /// Sets the number of slots from the number of descriptors that this process may hold.
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

    /// Occupies a slot for an accepted client.
    pub(super) fn occupy(&mut self, kind: ListenerKind) {
        self.clients += 1;
        self.secondary += usize::from(kind.is_secondary());
    }

    /// Releases the slot of a client whose connection was closed.
    pub(super) fn release(&mut self, kind: ListenerKind) {
        self.clients -= 1;
        self.secondary -= usize::from(kind.is_secondary());
    }

    /// The number of connected clients.
    pub(super) fn count(&self) -> usize {
        self.clients
    }

    /// Whether no client is connected.
    pub(super) fn is_empty(&self) -> bool {
        self.clients == 0
    }
}

#[cfg(test)]
mod tests;
