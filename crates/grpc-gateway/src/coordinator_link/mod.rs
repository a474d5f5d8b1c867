//! A gateway's link to the coordinator: the session with a replica over gRPC, the cache file of the shared state, and the effects
//! of that state on calls, streams, the endpoint list and sites. The decisions are made in `chalkdeck_coordinator::agent` and
//! `chalkdeck_access`.

mod access;
mod connection;
mod contracts;
mod events;
mod persistence;
mod status;

pub(crate) use events::StreamProgress;
pub use status::{CoordinatorStatus, LeadershipStatus, RuleSetStatus};

use crate::base::errors::CoordinatorError;
use crate::base::listed_endpoint::ListedEndpoint;
use crate::base::settings::{CoordinatorSettings, Settings};
use chalkdeck_access::RegionTable;
use chalkdeck_coordinator::agent::{AgentSettings, GatewayAgent};
use chalkdeck_coordinator::cache_file::CacheFile;
use chalkdeck_net::clock::generate_incarnation;
use chalkdeck_net::grpc::Deframer;
use chalkdeck_net::{ConnId, StreamId};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_time::{TimeDelta, Timestamp};
use std::path::Path;

/// The agent of this gateway in the fleet, with its connection and its files.
pub(crate) struct CoordinatorLink {
    agent: GatewayAgent,
    settings: CoordinatorSettings,
    regions: RegionTable,
    /// The cache file of the shared state; `None`: there is none.
    cache_file: Option<CacheFile>,
    /// When a failed write to the cache file is retried; `None`: no write has failed since the last success.
    persist_retry_at: Option<Timestamp>,
    conn: Option<ConnId>,
    /// The session's stream.
    stream: Option<StreamId>,
    deframer: Deframer,
    /// The endpoint list as it was read, before endpoints were held back.
    listed_endpoints: Vec<ListedEndpoint>,
    /// Addresses of endpoints whose contract version was not admitted.
    held_back_addresses: Vec<String>,
    /// Whether no endpoint in service has an admitted contract version, so that all are used.
    is_last_resort: bool,
}

impl CoordinatorLink {
    /// Reads the files and creates a link without a connection. `None`: the settings name no coordinator.
    ///
    /// # Errors
    /// A file exists but can't be read or parsed. The gateway must not start then, as it might admit calls that the access rules
    /// deny.
    pub(crate) fn from_settings(
        settings: &Settings,
        now: Timestamp,
    ) -> Result<Option<CoordinatorLink>, CoordinatorError> {
        match &settings.coordinator {
            Some(coordinator) => {
                CoordinatorLink::new(coordinator, &settings.zone_name, now).map(Some)
            }
            None => Ok(None),
        }
    }

    fn new(
        settings: &CoordinatorSettings,
        zone_name: &str,
        now: Timestamp,
    ) -> Result<CoordinatorLink, CoordinatorError> {
        let regions = match &settings.regions_file {
            Some(file) => read_regions(file)?,
            None => RegionTable::default(),
        };
        let (cache_file, state) = match &settings.state_file {
            Some(file) => {
                let (cache_file, state) = CacheFile::open(file)?;
                (Some(cache_file), state)
            }
            None => (None, Default::default()),
        };
        let version = state.version;
        let mut agent = GatewayAgent::new(agent_settings(settings, zone_name, now), state, now);
        if cache_file.is_some() {
            agent.on_state_persisted(now, version);
        }
        Ok(CoordinatorLink {
            agent,
            settings: settings.clone(),
            regions,
            cache_file,
            persist_retry_at: None,
            conn: None,
            stream: None,
            deframer: Deframer::default(),
            listed_endpoints: Vec::new(),
            held_back_addresses: Vec::new(),
            is_last_resort: false,
        })
    }
}

fn agent_settings(
    settings: &CoordinatorSettings,
    zone_name: &str,
    now: Timestamp,
) -> AgentSettings {
    let open_session = wire::OpenSession {
        gateway: settings.name.clone(),
        site: zone_name.to_string(),
        incarnation: generate_incarnation(now.as_micros()),
        candidate: settings.is_candidate,
    };
    AgentSettings {
        open_session,
        replica_count: settings.addresses.len(),
        report_interval: TimeDelta::from_micros(settings.report_interval),
        seed: fastrand::u64(..),
    }
}

fn read_regions(file: &Path) -> Result<RegionTable, CoordinatorError> {
    let text = std::fs::read_to_string(file).map_err(|source| CoordinatorError::RegionsFile {
        file: file.to_path_buf(),
        source,
    })?;
    RegionTable::parse(&text).map_err(|source| CoordinatorError::Regions {
        file: file.to_path_buf(),
        source,
    })
}
