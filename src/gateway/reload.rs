//! Reloads the configuration on SIGHUP, while calls are in progress.

use super::Gateway;

impl Gateway {
    /// Reads the configuration file again and connects to the discovery service that it names, from
    /// the current revision. A file that cannot be used changes nothing. Settings that pending
    /// calls depend on (names, limits, the decision module's settings) stay until a restart; a file
    /// that changes them is logged.
    pub(super) fn reload(&mut self) {
        let reloaded = match self.config.reload() {
            Ok(reloaded) => reloaded,
            Err(error) => return tracing::error!(%error, "the settings stay as they are"),
        };
        let now = self.clock.now();
        self.reload_gossip(now);
        self.reload_consensus();
        if self.config.restart_only_values() != reloaded.restart_only_values() {
            tracing::warn!(
                "only the notice board address is reloaded; other changes need a restart"
            );
        }
        for update in &reloaded.initial_updates {
            // If an update in between was missed, service discovery is asked to send it.
            if !self.apply_watch_event(now, update) {
                break;
            }
        }
        self.config.discovery_address = reloaded.discovery_address;
        self.reopen_discovery(now);
        let address = reloaded
            .discovery_address
            .map_or("none".to_owned(), |address| address.to_string());
        tracing::info!(discovery = %address, "the configuration was read anew");
    }
}
