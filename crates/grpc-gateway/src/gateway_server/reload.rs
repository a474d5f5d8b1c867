//! Reload of the settings while the gateway runs.

use super::GatewayServer;
use crate::base::settings::Settings;
use crate::fault::Fault;
use chalkdeck_net::file_watch::FileWatch;

impl GatewayServer {
    /// Reloads the settings. Rejects the reload if the new settings are invalid or change what needs a restart.
    pub fn reload(&mut self) {
        let Some(file) = &self.settings_file else {
            return;
        };
        let new = match Settings::load(file) {
            Ok(new) => new,
            Err(error) => {
                return tracing::error!(%error, "reload rejected: keeping the previous settings")
            }
        };
        if needs_restart(&self.settings, &new) {
            tracing::error!(
                "reload rejected: classes, plans, fleet, limits and addresses need a restart"
            );
            return;
        }
        if new.endpoint_list_file != self.settings.endpoint_list_file {
            self.endpoint_list_watch = FileWatch::new(new.endpoint_list_file.clone());
        }
        self.settings = new;
        self.has_reloaded = true;
        if self.fault == Some(Fault::Complain) {
            tracing::error!("fault injection: reload logged as an error");
        }
        tracing::info!("settings reloaded");
    }
}

/// Whether the settings differ in a field that can't change without a restart.
fn needs_restart(old: &Settings, new: &Settings) -> bool {
    // The settings of the decision engine don't implement `PartialEq`; their debug output contains every field.
    format!("{:?}", old.policy) != format!("{:?}", new.policy)
        || old.listen != new.listen
        || old.admin != new.admin
        || old.is_site_failover_enabled != new.is_site_failover_enabled
        || old.counter_addresses != new.counter_addresses
        || old.resp != new.resp
        || old.coordinator != new.coordinator
}
