//! SIGHUP: the configuration reloaded while calls go on.

use super::Gateway;

impl Gateway {
    /// Reads the configuration's file again and moves to the discovery service that it names, from the revision at hand.
    /// A file that cannot be used changes nothing. What pending calls depend on (names, limits, the decision module's
    /// settings) stays until a restart; a file that would change it is logged.
    pub(super) fn reload(&mut self) {
        let fresh = match self.config.again() {
            Ok(fresh) => fresh,
            Err(error) => return tracing::error!(%error, "the settings stay as they are"),
        };
        let now = self.clock.now();
        self.reload_gossip(now);
        self.reload_consensus();
        if self.config.fixed() != fresh.fixed() {
            tracing::warn!(
                "only the notice board is taken from the new configuration before a restart"
            );
        }
        for update in &fresh.known {
            // An update that was missed in between is asked of service discovery.
            if !self.apply_watch_event(now, update) {
                break;
            }
        }
        self.config.board = fresh.board;
        self.reopen_discovery(now);
        let address = fresh
            .board
            .map_or("none".to_owned(), |address| address.to_string());
        tracing::info!(discovery = %address, "the configuration was read anew");
    }
}
