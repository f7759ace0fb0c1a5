//! SIGHUP: the configuration read anew while calls go on.

use super::{ConnKey, Gateway, Role};
use crate::completion::CloseReason;

impl Gateway {
    /// Reads the configuration's file again and moves to the notice board that it names, from the version
    /// held. A file that cannot be used changes nothing. What calls are under way under (names, limits, the
    /// module's settings) stays until a restart, and a file that would change it is said to.
    pub(super) fn reload(&mut self) {
        let fresh = match self.config.again() {
            Ok(fresh) => fresh,
            Err(e) => return tracing::error!("the settings stay as they are: {e}"),
        };
        let now = self.clock.now();
        self.reload_gossip(now);
        self.reload_council();
        if self.config.fixed() != fresh.fixed() {
            tracing::warn!(
                "only the notice board is taken from the new configuration before a restart"
            );
        }
        for notice in &fresh.known {
            // One that was missed in between is asked of the board.
            if !self.apply_watch_event(now, notice) {
                break;
            }
        }
        let boards = self
            .connections
            .iter()
            .filter(|(_, (_, role))| matches!(role, Role::Discovery(_)));
        let boards: Vec<ConnKey> = boards.map(|(key, _)| key).collect();
        self.config.board = fresh.board;
        boards
            .into_iter()
            .for_each(|key| self.close(key, CloseReason::Shutdown));
        self.connect_discovery(now);
        let to = fresh.board.map_or("none".to_owned(), |b| b.to_string());
        tracing::info!("the configuration was read anew; notice board: {to}");
    }
}
