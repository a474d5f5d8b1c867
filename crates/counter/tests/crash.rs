//! Simulates crashes at every disk operation and compares the responses that gateways received before with the state that is
//! recovered afterwards.

mod common;

use chalkdeck_counter::batch::IncrementBatch;
use chalkdeck_counter::state::{CounterState, Increment, Limits, NameId};
use chalkdeck_counter::{recovery, snapshot};
use chalkdeck_time::Timestamp;
use chalkdeck_wal::disk::Disk;
use chalkdeck_wal::error::{AppendError, OpenError};
use chalkdeck_wal::file_names::{list_segments, list_snapshots};
use chalkdeck_wal::log::{Log, OpenedLog};
use chalkdeck_wal::recovery::{RecoveredState, TornTail};
use chalkdeck_wal::retention::remove_superseded;
use chalkdeck_wal::simulated_disk::SimulatedDisk;
use common::increment;
use std::collections::BTreeMap;

const NAME_COUNT: u64 = 5;
const INCARNATION: u64 = 77;
/// Batches that a counter writes in one run.
const ROUNDS: u64 = 12;

/// An increment with the total in its response.
#[derive(Clone, Copy)]
struct AcknowledgedIncrement {
    increment: Increment,
    total: f64,
}

/// The increments that gateways have sent, as the gateways know them.
#[derive(Default)]
struct GatewayView {
    acknowledged: Vec<AcknowledgedIncrement>,
    /// Increments without a response, which may or may not have been counted.
    unacknowledged: Vec<Increment>,
    /// Last sequence number of each caller.
    last_numbers: BTreeMap<u64, u64>,
}

fn is_same_increment(left: &Increment, right: &Increment) -> bool {
    (left.caller, left.number) == (right.caller, right.number)
}

fn sum_for_name(increments: impl Iterator<Item = Increment>, name: u64) -> f64 {
    increments
        .filter(|increment| increment.name == NameId(name))
        .map(|increment| increment.amount)
        .sum()
}

impl GatewayView {
    fn next_batch(&mut self, rng: &mut fastrand::Rng) -> Vec<Increment> {
        let mut increments = Vec::new();
        for _ in 0..rng.usize(1..6) {
            // Sometimes repeats an acknowledged increment.
            match rng.choice(&self.acknowledged) {
                Some(repeated) if rng.u8(..5) == 0 => increments.push(repeated.increment),
                _ => {
                    let caller = rng.u64(1..=3);
                    let number = self.last_numbers.entry(caller).or_default();
                    *number += rng.u64(1..3);
                    increments.push(increment(caller, *number, rng.u64(..NAME_COUNT)));
                }
            }
        }
        increments
    }

    fn find(&self, increment: &Increment) -> Option<&AcknowledgedIncrement> {
        self.acknowledged
            .iter()
            .find(|known| is_same_increment(&known.increment, increment))
    }

    fn acknowledge(&mut self, increments: &[Increment], totals: &[f64]) {
        for (increment, total) in increments.iter().zip(totals) {
            match self.find(increment) {
                Some(known) => assert_eq!(
                    *total, known.total,
                    "a repeated increment gets the same total"
                ),
                None => self.acknowledged.push(AcknowledgedIncrement {
                    increment: *increment,
                    total: *total,
                }),
            }
        }
    }

    fn add_unacknowledged(&mut self, increments: &[Increment]) {
        for increment in increments {
            if self.find(increment).is_none() {
                self.unacknowledged.push(*increment);
            }
        }
    }

    /// Checks that all acknowledged increments are in the totals, and nothing but sent ones.
    fn check(&self, state: &CounterState, seed: u64) {
        for name in 0..NAME_COUNT {
            let known = self.acknowledged.iter().map(|known| known.increment);
            let min_total = sum_for_name(known, name);
            let max_total = min_total + sum_for_name(self.unacknowledged.iter().copied(), name);
            let total = state.total(NameId(name)).unwrap_or(0.0);
            assert!(
                min_total <= total && total <= max_total,
                "seed {seed}, name {name}: {min_total} <= {total} <= {max_total}"
            );
        }
    }
}

/// A counter state with its log on a simulated disk.
struct Counter {
    disk: SimulatedDisk,
    log: Log<SimulatedDisk>,
    state: CounterState,
}

impl Counter {
    fn try_open(disk: &SimulatedDisk) -> Result<Counter, OpenError> {
        let opened = try_open(disk)?;
        Ok(Counter {
            disk: disk.clone(),
            log: opened.log,
            state: opened.state,
        })
    }

    fn open(disk: &SimulatedDisk) -> Counter {
        Counter::try_open(disk).unwrap_or_else(|error| panic!("a crash is not damage: {error}"))
    }

    /// Writes increments as one batch and counts them.
    fn count(&mut self, increments: &[Increment], time: u64) -> Result<Vec<f64>, AppendError> {
        let time = Timestamp::from_micros(time);
        let batch = IncrementBatch {
            position: self.state.position(),
            time,
            increments: increments.to_vec(),
        };
        let mut record = Vec::new();
        batch.encode(&mut record);
        self.log.append(&record)?;
        self.log.sync()?;
        let totals = increments
            .iter()
            .map(|increment| self.state.apply(time, increment));
        Ok(totals.collect())
    }

    fn write_snapshot(&mut self) -> std::io::Result<()> {
        self.log.roll(self.state.position())?;
        chalkdeck_wal::snapshot::write(&self.disk, &self.state, self.log.identity())?;
        remove_superseded(&self.disk)
    }
}

fn try_open(disk: &SimulatedDisk) -> Result<OpenedLog<SimulatedDisk, CounterState>, OpenError> {
    recovery::open(disk.clone(), Limits::default(), INCARNATION)
}

fn try_recover(disk: &SimulatedDisk) -> Result<RecoveredState<CounterState>, OpenError> {
    recovery::recover(disk, Limits::default(), u64::MAX)
}

fn recover(disk: &SimulatedDisk) -> RecoveredState<CounterState> {
    try_recover(disk).unwrap_or_else(|error| panic!("expected a valid log: {error}"))
}

fn recovery_error(disk: &SimulatedDisk) -> String {
    let Err(error) = try_recover(disk) else {
        panic!("expected an error");
    };
    error.to_string()
}

/// Writes batches and snapshots; after the disk has stopped, every further batch fails.
fn run_until_stop(
    disk: &SimulatedDisk,
    gateway_view: &mut GatewayView,
    rng: &mut fastrand::Rng,
) -> Result<(), OpenError> {
    let mut counter = Counter::try_open(disk)?;
    for round in 0..ROUNDS {
        let increments = gateway_view.next_batch(rng);
        match counter.count(&increments, round) {
            Ok(totals) => gateway_view.acknowledge(&increments, &totals),
            Err(_) => gateway_view.add_unacknowledged(&increments),
        }
        if rng.u8(..4) == 0 {
            // A failed snapshot loses nothing: the log still contains all records.
            let _ = counter.write_snapshot();
        }
    }
    Ok(())
}

/// Runs a counter four times on a disk that stops; `calls_before_first_stop` is the number of disk operations in the first
/// run. Checks the recovered state after each crash.
fn run_with_crashes(seed: u64, calls_before_first_stop: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut disk = SimulatedDisk::new(seed);
    let mut gateway_view = GatewayView::default();
    let mut epoch = 0;
    for run in 0..4 {
        let calls = if run == 0 {
            calls_before_first_stop
        } else {
            rng.u64(1..60)
        };
        disk.stop_after(calls);
        match run_until_stop(&disk, &mut gateway_view, &mut rng) {
            Err(error @ OpenError::Damage { .. }) => {
                panic!("seed {seed}: a crash is not damage: {error}")
            }
            // With `OpenError::Disk` the disk stopped while the log was opened.
            Ok(()) | Err(OpenError::Disk { .. }) => {}
        }
        disk = disk.after_crash();
        let mut counter = Counter::open(&disk);
        gateway_view.check(&counter.state, seed);
        assert!(
            counter.log.identity().epoch > epoch,
            "each start begins a new epoch"
        );
        epoch = counter.log.identity().epoch;
        // Gateways retry the unacknowledged increments. Each counts once, whether or not it was counted before the crash.
        for increment in std::mem::take(&mut gateway_view.unacknowledged) {
            let totals = counter.count(&[increment], 0).expect("the disk works");
            gateway_view.acknowledge(&[increment], &totals);
        }
        gateway_view.check(&counter.state, seed);
    }
}

#[test]
fn disk_stops_at_random_then_nothing_acknowledged_is_lost_and_nothing_counts_twice() {
    for seed in 0..2_000 {
        let calls_before_first_stop = fastrand::Rng::with_seed(seed ^ 9).u64(1..120);
        run_with_crashes(seed, calls_before_first_stop);
    }
}

#[test]
fn disk_stops_at_each_call_then_nothing_acknowledged_is_lost_and_nothing_counts_twice() {
    let mut all_calls = 0;
    for seed in 0..8 {
        let disk = SimulatedDisk::new(seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        run_until_stop(&disk, &mut GatewayView::default(), &mut rng).expect("a working disk");
        let calls = disk.calls();
        all_calls += calls;
        for calls_before_first_stop in 0..=calls {
            run_with_crashes(seed, calls_before_first_stop);
        }
    }
    assert!(
        all_calls > 300,
        "snapshots and their removal are among the {all_calls} calls"
    );
}

/// A folder with two snapshots and several segments, and its state.
struct Folder {
    disk: SimulatedDisk,
    state: CounterState,
    /// Sum of the amounts of the last batch.
    last_batch_sum: f64,
}

fn folder(seed: u64) -> Folder {
    let disk = SimulatedDisk::new(seed);
    let mut counter = Counter::open(&disk);
    let mut last_batch_sum = 0.0;
    for round in 0..9_u64 {
        let increments: Vec<Increment> = (0..4)
            .map(|i| increment(1, round * 4 + i + 1, i % NAME_COUNT))
            .collect();
        counter.count(&increments, round).expect("a working disk");
        last_batch_sum = increments.len() as f64;
        if round % 3 == 2 && round < 8 {
            counter.write_snapshot().expect("a working disk");
        }
    }
    Folder {
        disk,
        state: counter.state,
        last_batch_sum,
    }
}

fn sum_of_totals(state: &CounterState) -> f64 {
    state.totals().iter().map(|total| total.total).sum()
}

/// Flips a random bit of a random file and returns the file's name.
fn flip_bit(disk: &SimulatedDisk, seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    let names = disk.list().expect("a list");
    let name = rng.choice(&names).expect("a file").clone();
    let mut bytes = disk.read(&name).expect("bytes");
    let bit = rng.usize(..bytes.len() * 8);
    bytes[bit / 8] ^= 1 << (bit % 8);
    disk.put(&name, bytes);
    name
}

#[test]
fn bit_is_flipped_then_it_is_reported_or_changes_nothing() {
    let mut damaged_logs = 0;
    let mut torn_tails = 0;
    let mut damaged_snapshots = 0;
    for seed in 0..1_500 {
        let folder = folder(seed);
        let name = flip_bit(&folder.disk, seed);
        match try_open(&folder.disk) {
            Err(OpenError::Damage { file, .. }) => {
                assert_eq!(file, name);
                damaged_logs += 1;
            }
            Err(error) => panic!("{error}"),
            Ok(opened) => {
                let lost = sum_of_totals(&folder.state) - sum_of_totals(&opened.state);
                let report = &opened.report;
                damaged_snapshots += usize::from(!report.damaged_snapshots.is_empty());
                torn_tails += usize::from(report.torn_tail.is_some());
                let max_loss = if report.torn_tail.is_some() {
                    folder.last_batch_sum
                } else {
                    0.0
                };
                assert!(
                    (0.0..=max_loss).contains(&lost),
                    "{name}, seed {seed}: {lost} lost, {report:?}"
                );
            }
        }
    }
    assert!(
        damaged_logs > 50 && torn_tails > 50 && damaged_snapshots > 50,
        "{damaged_logs} {torn_tails} {damaged_snapshots}"
    );
}

#[test]
fn tail_is_torn_then_recovery_reports_and_ignores_it() {
    let Folder { disk, state, .. } = folder(1);
    let newest = list_segments(&disk)
        .expect("a list")
        .pop()
        .expect("a segment");
    let intact = disk.read(&newest).expect("bytes");
    let tails = [
        vec![0; 4096],
        intact[intact.len() - 30..].to_vec(),
        vec![0xff; 3],
    ];
    for tail in tails {
        let mut bytes = intact.clone();
        bytes.extend(&tail);
        disk.put(&newest, bytes);
        let recovered = recover(&disk);
        assert_eq!(
            recovered.report.torn_tail,
            Some(TornTail {
                file: newest.clone(),
                len: tail.len() as u64,
            })
        );
        assert_eq!(recovered.state.totals(), state.totals());
    }
}

#[test]
fn records_follow_the_damage_then_recovery_fails() {
    let Folder { disk, .. } = folder(1);
    let newest = list_segments(&disk)
        .expect("a list")
        .pop()
        .expect("a segment");
    let intact = disk.read(&newest).expect("bytes");
    let mut bytes = intact.clone();
    bytes.extend([0; 100]);
    bytes.extend(&intact[intact.len() - 120..]);
    bytes.extend(&intact);
    disk.put(&newest, bytes);
    let error = recovery_error(&disk);
    assert!(
        error.contains(&newest) && error.contains(&format!("offset {}", intact.len())),
        "{error}"
    );
}

#[test]
fn oldest_segment_and_snapshots_are_missing_then_recovery_fails() {
    let Folder { disk, .. } = folder(1);
    let oldest = list_segments(&disk).expect("a list").remove(0);
    disk.remove(&oldest).expect("removed");
    for name in list_snapshots(&disk).expect("a list") {
        disk.remove(&name).expect("removed");
    }
    let error = recovery_error(&disk);
    assert!(error.contains("expected adds from 0 on"), "{error}");
}

#[test]
fn disk_fails_then_only_durable_increments_are_acknowledged() {
    let disk = SimulatedDisk::new(3);
    let mut counter = Counter::open(&disk);
    counter
        .count(&[increment(1, 1, 0)], 1)
        .expect("a working disk");
    disk.fail_next_append();
    let full = counter
        .count(&[increment(1, 2, 0)], 2)
        .expect_err("the disk is full");
    assert!(matches!(full, AppendError::NotWritten(_)), "{full}");
    assert_eq!(
        counter
            .count(&[increment(1, 3, 0)], 3)
            .expect("the disk has space again"),
        [2.0]
    );

    disk.fail_syncs();
    let unknown = counter
        .count(&[increment(1, 4, 0)], 4)
        .expect_err("the sync fails");
    assert!(
        matches!(unknown, AppendError::OutcomeUnknown(_)),
        "{unknown}"
    );
    let closed = counter
        .count(&[increment(1, 5, 0)], 5)
        .expect_err("the log is closed");
    assert!(
        matches!(closed, AppendError::Closed) && counter.log.is_closed(),
        "{closed}"
    );
    let total = Counter::open(&disk.after_crash()).state.total(NameId(0));
    assert!(total == Some(2.0) || total == Some(3.0), "{total:?}");
}

#[test]
fn failed_append_cannot_be_truncated_then_the_log_closes() {
    let disk = SimulatedDisk::new(4);
    let mut counter = Counter::open(&disk);
    disk.fail_truncations();
    disk.fail_next_append();
    let unknown = counter
        .count(&[increment(1, 1, 0)], 1)
        .expect_err("the truncation fails");
    assert!(
        matches!(unknown, AppendError::OutcomeUnknown(_)) && counter.log.is_closed(),
        "{unknown}"
    );
}

#[test]
fn state_is_recovered_then_its_snapshot_has_the_same_bytes() {
    let Folder { disk, state, .. } = folder(5);
    let recovered = recover(&disk);
    let identity = recovered.identity;
    let snapshot_bytes = snapshot::encode(&state, identity);
    assert_eq!(snapshot::encode(&recovered.state, identity), snapshot_bytes);
    let decoded = snapshot::decode(&snapshot_bytes, Limits::default()).expect("a valid snapshot");
    assert_eq!(
        snapshot::encode(&decoded.state, decoded.identity),
        snapshot_bytes
    );
    let partial = recovery::recover(&disk, Limits::default(), 16).expect("a valid log");
    assert_eq!(
        partial.state.position(),
        16,
        "a recovery stops at the given position"
    );
}

#[test]
fn folder_is_emptied_then_it_gets_a_new_incarnation() {
    let Folder { disk, state, .. } = folder(6);
    let reopened = recovery::open(disk, Limits::default(), 99)
        .map_err(|error| error.to_string())
        .expect("a valid log");
    let identity = reopened.log.identity();
    assert_eq!((identity.incarnation, identity.epoch), (INCARNATION, 2));
    assert_eq!(reopened.state.position(), state.position());
    let empty = recovery::open(SimulatedDisk::new(7), Limits::default(), 99)
        .map_err(|error| error.to_string())
        .expect("empty");
    let identity = empty.log.identity();
    assert_eq!(
        (identity.incarnation, identity.epoch, empty.state.position()),
        (99, 1, 0)
    );
}
