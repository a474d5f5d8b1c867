//! Start of a partition: recovers the state from its folder and binds its ports.

use super::{Server, ServerError, SnapshotSchedule, Storage};
use crate::hot_names::HotNameSampler;
use crate::metrics::Metrics;
use crate::pending::PendingQueue;
use crate::recovery;
use crate::settings::{PartitionSettings, Settings};
use crate::state::CounterState;
use crate::writer::Writer;
use chalkdeck_net::clock::generate_incarnation;
use chalkdeck_net::{Engine, Limits};
use chalkdeck_wal::disk::Folder;
use chalkdeck_wal::log::OpenedLog;
use chalkdeck_wal::recovery::RecoveryReport;
use chalkdeck_wal::state::Identity;
use rustc_hash::FxHashMap;
use std::path::Path;

/// Maximum number of concurrent streams on one connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 20_000;

/// State and storage of a partition at its start.
struct Recovered {
    state: CounterState,
    identity: Identity,
    storage: Option<Storage>,
}

impl Server {
    /// Recovers the state of a partition and binds its ports.
    ///
    /// # Errors
    ///
    /// The folder is in use or damaged, the disk failed, or a port is in use.
    pub fn start(
        partition: &PartitionSettings,
        settings: &Settings,
    ) -> Result<Server, ServerError> {
        let mut engine = Engine::new()?;
        let recovered = match &partition.folder {
            Some(path) => open_folder(path, settings, &engine)?,
            None => empty_state(settings, &engine),
        };
        let limits = Limits {
            max_streams: MAX_STREAMS_PER_CONNECTION,
            ..Limits::default()
        };
        let (grpc_listener, grpc_address) =
            engine.listen(partition.grpc_address, limits, false, false)?;
        let mut admin_address = None;
        if let Some(address) = partition.admin_address {
            let (_, bound_address) = engine.listen(address, limits, false, true)?;
            admin_address = Some(bound_address);
        }
        Ok(Server {
            engine,
            grpc_listener,
            grpc_address,
            admin_address,
            state: recovered.state,
            identity: recovered.identity,
            storage: recovered.storage,
            streams: FxHashMap::default(),
            ending_streams: Vec::new(),
            pending: PendingQueue::new(settings.pending_capacity),
            in_flight: None,
            responses: FxHashMap::default(),
            hot_name_sampler: HotNameSampler::default(),
            metrics: Metrics::new(),
            snapshot_schedule: SnapshotSchedule::new(settings.snapshot_threshold_bytes),
            is_log_closed: false,
        })
    }
}

fn empty_state(settings: &Settings, engine: &Engine) -> Recovered {
    Recovered {
        state: CounterState::new(settings.limits),
        identity: Identity {
            incarnation: generate_incarnation(engine.now()),
            epoch: 1,
        },
        storage: None,
    }
}

fn open_folder(
    path: &Path,
    settings: &Settings,
    engine: &Engine,
) -> Result<Recovered, ServerError> {
    let folder = Folder::open(path).map_err(|error| ServerError::Folder {
        path: path.to_owned(),
        error,
    })?;
    let new_incarnation = generate_incarnation(engine.now());
    let opened = recovery::open(folder.clone(), settings.limits, new_incarnation);
    let OpenedLog { log, state, report } = opened.map_err(|error| ServerError::Log {
        path: path.to_owned(),
        error,
    })?;
    let identity = log.identity();
    log_recovery(path, &report, &state, identity);
    let writer = Writer::start(folder.clone(), log, settings.sync_policy, engine.waker()?)?;
    Ok(Recovered {
        state,
        identity,
        storage: Some(Storage { writer, folder }),
    })
}

fn log_recovery(path: &Path, report: &RecoveryReport, state: &CounterState, identity: Identity) {
    for snapshot in &report.damaged_snapshots {
        tracing::error!(%snapshot, "damaged snapshot skipped: using an older one");
    }
    if let Some(tail) = &report.torn_tail {
        tracing::warn!(
            file = tail.file,
            bytes = tail.len,
            "torn tail of the log truncated: its increments were never acknowledged"
        );
    }
    tracing::info!(
        folder = %path.display(),
        incarnation = format!("{:x}", identity.incarnation),
        epoch = identity.epoch,
        position = state.position(),
        names = state.name_count(),
        snapshot = report.snapshot_position,
        replayed = report.replayed_changes,
        "recovered"
    );
}
