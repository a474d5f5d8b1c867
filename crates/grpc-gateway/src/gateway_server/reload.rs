//! Settings that are read again while the gateway runs.

use super::GatewayServer;
use crate::base::settings::Settings;
use crate::fault::Fault;
use chalkdeck_net::file_watch::FileWatch;

impl GatewayServer {
    /// Reads the settings again and applies what can change while the gateway runs. The rest needs a restart.
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
        if new.endpoints != self.settings.endpoints {
            self.endpoint_file = FileWatch::new(new.endpoints.clone());
        }
        self.settings = new;
        self.has_reloaded = true;
        if self.fault == Some(Fault::Complain) {
            tracing::error!("fault injection: reload logged as an error");
        }
        tracing::info!("settings reloaded");
    }
}

/// Whether the settings differ in what is fixed at the start.
fn needs_restart(old: &Settings, new: &Settings) -> bool {
    // Settings of the decisions can't be compared; their debug form has every field.
    format!("{:?}", old.policy) != format!("{:?}", new.policy)
        || old.listen != new.listen
        || old.admin != new.admin
        || old.sites != new.sites
        || old.counter != new.counter
        || old.resp != new.resp
        || old.coordinator != new.coordinator
}
