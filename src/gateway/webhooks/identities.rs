//! The identities of taken calls at the start: where they are kept, and which gateways share them.

use super::{
    io, ConfigError, EarlierIdentities, Gateway, GatewayError, Micros, ReplayStore, Webhooks,
};
use crate::front::webhook::home::{SharedIdentities, TakeRule};
use crate::gateway::secondary_listeners::TenantAgreement;

/// Maximum number of tries to lock a file at the start, where nothing else waits for this process.
const MAX_LOCK_TRIES: usize = 100;

/// Repeats an action on a file of identities while another process holds its lock.
fn retry_while_locked<T>(mut action: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let is_locked = |result: &io::Result<T>| {
        let error = result.as_ref().err();
        error.is_some_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    };
    for _ in 1..MAX_LOCK_TRIES {
        let result = action();
        if !is_locked(&result) {
            return result;
        }
    }
    action()
}

impl Gateway {
    /// Determines by which rule this gateway takes signed calls, and registers it in the file of
    /// identities, if there is one.
    pub(super) fn take_rule(
        &self,
        webhooks: &Webhooks,
        replays: &mut ReplayStore,
    ) -> Result<TakeRule, GatewayError> {
        let place = self.config.group_place();
        let rule = TakeRule {
            place,
            homes: webhooks
                .home_gateways(place)
                .map_err(GatewayError::Operator)?,
            shared: match self.secondary.tenant_agreement {
                TenantAgreement::AmongGateways => SharedIdentities::Replicated,
                TenantAgreement::None => SharedIdentities::ByFile,
            },
        };
        if place.size <= 1 || rule.shared == SharedIdentities::Replicated {
            return Ok(rule);
        }
        if let Err(error) = replays.add_member(&self.config.name, place) {
            tracing::warn!(%error, "this gateway is not registered in the file of identities");
        }
        tracing::info!(
            number = place.number,
            gateways = place.size,
            home = rule.homes.default,
            every_gateway = replays.has_all_members(place.size),
            "signed calls are taken by a tenant's home, or by every gateway once all are registered \
             in one file of identities"
        );
        Ok(rule)
    }

    /// Loads the identities that earlier processes accepted while the gateway had no store: those
    /// in the file beside the operator's file, if there is one.
    fn load_identities_without_store(
        &self,
        webhooks: &Webhooks,
        replays: &mut ReplayStore,
        now: Micros,
    ) -> Result<(), GatewayError> {
        let file = webhooks.default_replay_file.as_ref();
        let Some(path) = file.filter(|path| path.is_file()) else {
            return Ok(());
        };
        let read_error = |error| GatewayError::Operator(ConfigError::Read(path.clone(), error));
        let mut earlier =
            retry_while_locked(|| ReplayStore::open(path, webhooks.replay_entries, now))
                .map_err(read_error)?;
        replays.set_forgotten_until(earlier.forgotten_until());
        let identities =
            retry_while_locked(|| earlier.leave(&self.config.name)).map_err(read_error)?;
        replays.load(&identities);
        Ok(())
    }

    /// Opens the identities that were accepted before: from the configured file or the store, or
    /// else from the file beside the operator's file.
    pub(super) fn open_replays(
        &self,
        w: &Webhooks,
        now: Micros,
    ) -> Result<(ReplayStore, EarlierIdentities), GatewayError> {
        if let Some(path) = &w.replay_file {
            let replays = ReplayStore::open(path, w.replay_entries, now)
                .map_err(|e| GatewayError::Operator(ConfigError::Read(path.clone(), e)))?;
            return Ok((replays, EarlierIdentities::Known));
        }
        let mut in_memory = ReplayStore::new(w.replay_entries);
        if w.store.is_some() {
            self.load_identities_without_store(w, &mut in_memory, now)?;
            return Ok((in_memory, EarlierIdentities::Known));
        }
        let Some(path) = &w.default_replay_file else {
            return Ok((in_memory, EarlierIdentities::Lost(now)));
        };
        let opened = ReplayStore::open(path, w.replay_entries, now).and_then(|mut replays| {
            let was_user = replays.add_user(&self.config.name)?;
            Ok((replays, was_user))
        });
        Ok(match opened {
            Ok((replays, true)) => (replays, EarlierIdentities::Known),
            Ok((replays, false)) => (replays, EarlierIdentities::FirstStart(now)),
            Err(error) => {
                tracing::warn!(
                    path = %path.display(),
                    %error,
                    remedy = "name a file that can be written as webhooks.replay_file, or a store",
                    "accepted identities are lost with this process: calls signed up to a few \
                     seconds after a start are rejected, and those signed further ahead always"
                );
                (in_memory, EarlierIdentities::Lost(now))
            }
        })
    }
}
