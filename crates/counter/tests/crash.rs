//! Every crash point: a disk that stops at any call, and what gateways were told before against what stands after.
mod common;
use chalkdeck_counter::log::{self, encode, AppendError, OpenError, Opened};
use chalkdeck_counter::snapshot;
use chalkdeck_counter::state::{Add, Counts, Limits};
use chalkdeck_wal::disk::Disk;
use chalkdeck_wal::file_names::{list_segments, list_snapshots};
use chalkdeck_wal::log::Log;
use chalkdeck_wal::recovery::TornTail;
use chalkdeck_wal::retention::remove_superseded;
use common::{add, SimulatedDisk};
use std::collections::BTreeMap;

const NAMES: u64 = 5;
const OWN: u64 = 77;

/// What gateways know of their adds.
#[derive(Default)]
struct Ledger {
    told: Vec<(Add, f64)>,
    unheard: Vec<Add>,
    numbers: BTreeMap<u64, u64>,
}

impl Ledger {
    fn batch(&mut self, rng: &mut fastrand::Rng) -> Vec<Add> {
        let mut adds = Vec::new();
        for _ in 0..rng.usize(1..6) {
            // Now and then one arrives again.
            match rng.choice(&self.told) {
                Some((old, _)) if rng.u8(..5) == 0 => adds.push(*old),
                _ => {
                    let caller = rng.u64(1..=3);
                    let number = self.numbers.entry(caller).or_default();
                    *number += rng.u64(1..3);
                    adds.push(add(caller, *number, rng.u64(..NAMES)));
                }
            }
        }
        adds
    }
    fn hear(&mut self, adds: &[Add], totals: &[f64]) {
        for (add, total) in adds.iter().zip(totals) {
            match self
                .told
                .iter()
                .find(|t| (t.0.caller, t.0.number) == (add.caller, add.number))
            {
                Some((_, before)) => {
                    assert_eq!(total, before, "an add that comes again hears the same")
                }
                None => self.told.push((*add, *total)),
            }
        }
    }
    fn miss(&mut self, adds: &[Add]) {
        let told = |a: &Add| {
            self.told
                .iter()
                .any(|t| (t.0.caller, t.0.number) == (a.caller, a.number))
        };
        let new: Vec<Add> = adds.iter().filter(|a| !told(a)).copied().collect();
        self.unheard.extend(new);
    }
    fn sum(adds: impl Iterator<Item = Add>, name: u64) -> f64 {
        adds.filter(|a| a.name == name).map(|a| a.amount).sum()
    }
    fn check(&self, counts: &Counts, seed: u64) {
        for name in 0..NAMES {
            let told = Ledger::sum(self.told.iter().map(|t| t.0), name);
            let most = told + Ledger::sum(self.unheard.iter().copied(), name);
            let total = counts.total(name).unwrap_or(0.0);
            assert!(
                told <= total && total <= most,
                "seed {seed}, name {name}: {told} <= {total} <= {most}"
            );
        }
    }
}

fn count(
    log: &mut Log<SimulatedDisk>,
    counts: &mut Counts,
    adds: &[Add],
    time: u64,
) -> Result<Vec<f64>, AppendError> {
    let mut record = Vec::new();
    encode(&mut record, counts.position(), time, adds);
    log.append(&record)?;
    log.sync()?;
    Ok(adds.iter().map(|a| counts.apply(time, a)).collect())
}

fn snap(
    log: &mut Log<SimulatedDisk>,
    counts: &Counts,
    disk: &SimulatedDisk,
) -> std::io::Result<()> {
    log.roll(counts.position())?;
    snapshot::write(disk, counts, log.identity())?;
    remove_superseded(disk)
}

/// Works until the disk stops.
fn live(
    disk: &SimulatedDisk,
    ledger: &mut Ledger,
    rng: &mut fastrand::Rng,
    rounds: usize,
) -> Result<(), OpenError> {
    let Opened {
        mut log,
        state: mut counts,
        ..
    } = log::open(disk.clone(), Limits::default(), OWN)?;
    for round in 0..rounds {
        let adds = ledger.batch(rng);
        match count(&mut log, &mut counts, &adds, round as u64) {
            Ok(totals) => ledger.hear(&adds, &totals),
            Err(_) => ledger.miss(&adds),
        }
        if rng.u8(..4) == 0 {
            let _ = snap(&mut log, &counts, disk);
        }
    }
    Ok(())
}

fn open(disk: &SimulatedDisk) -> Opened<SimulatedDisk> {
    log::open(disk.clone(), Limits::default(), OWN)
        .unwrap_or_else(|e| panic!("a crash is no damage: {e}"))
}

fn history(seed: u64, stop: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut disk, mut ledger) = (SimulatedDisk::new(seed), Ledger::default());
    let mut epoch = 0;
    for life in 0..4 {
        disk.stop_after(if life == 0 { stop } else { rng.u64(1..60) });
        match live(&disk, &mut ledger, &mut rng, 12) {
            Err(e @ OpenError::Damage { .. }) => panic!("seed {seed}: a crash is no damage: {e}"),
            // The start itself was stopped.
            Ok(()) | Err(OpenError::Disk { .. }) => {}
        }
        disk = disk.after_crash();
        let opened = open(&disk);
        ledger.check(&opened.state, seed);
        assert!(
            opened.log.identity().epoch > epoch,
            "each start is an epoch"
        );
        epoch = opened.log.identity().epoch;
        // What was never heard arrives again, and counts once whether or not it had.
        let (mut log, mut counts) = (opened.log, opened.state);
        for add in std::mem::take(&mut ledger.unheard) {
            let totals = count(&mut log, &mut counts, &[add], 0).expect("the disk works");
            ledger.hear(&[add], &totals);
        }
        ledger.check(&counts, seed);
    }
}

#[test]
fn thousands_of_histories_lose_nothing_told_and_count_nothing_twice() {
    (0..2_000).for_each(|seed| history(seed, fastrand::Rng::with_seed(seed ^ 9).u64(1..120)));
}

#[test]
fn every_call_to_the_disk_may_be_the_last() {
    let mut all = 0;
    for seed in 0..8 {
        let disk = SimulatedDisk::new(seed);
        live(
            &disk,
            &mut Ledger::default(),
            &mut fastrand::Rng::with_seed(seed),
            12,
        )
        .expect("a sound disk");
        let calls = disk.calls();
        all += calls;
        (0..=calls).for_each(|stop| history(seed, stop));
    }
    assert!(
        all > 300,
        "snapshots and their removal are among the {all} calls"
    );
}

/// A folder with two snapshots and several segments.
fn folder(seed: u64) -> (SimulatedDisk, Counts, f64) {
    let disk = SimulatedDisk::new(seed);
    let Opened {
        mut log,
        state: mut counts,
        ..
    } = open(&disk);
    let mut last = 0.0;
    for round in 0..9_u64 {
        let adds: Vec<Add> = (0..4)
            .map(|i| add(1, round * 4 + i + 1, i % NAMES))
            .collect();
        count(&mut log, &mut counts, &adds, round).expect("a sound disk");
        last = adds.len() as f64;
        if round % 3 == 2 && round < 8 {
            snap(&mut log, &counts, &disk).expect("a sound disk");
        }
    }
    (disk, counts, last)
}

#[test]
fn a_flipped_bit_is_never_silent() {
    let (mut stopped, mut cut, mut skipped) = (0, 0, 0);
    for seed in 0..1_500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (disk, counts, last) = folder(seed);
        let names = disk.list().expect("a list");
        let name = rng.choice(&names).expect("a file").clone();
        let mut bytes = disk.read(&name).expect("bytes");
        let bit = rng.usize(..bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        disk.put(&name, bytes);
        match log::open(disk, Limits::default(), OWN) {
            Err(OpenError::Damage { file, .. }) => {
                assert_eq!(file, name);
                stopped += 1;
            }
            Err(e) => panic!("{e}"),
            Ok(opened) => {
                let sum = |c: &Counts| c.all().iter().map(|t| t.total).sum::<f64>();
                let lost = sum(&counts) - sum(&opened.state);
                let found = &opened.report;
                skipped += usize::from(!found.damaged_snapshots.is_empty());
                cut += usize::from(found.torn_tail.is_some());
                let told = if found.torn_tail.is_some() { last } else { 0.0 };
                assert!(
                    (0.0..=told).contains(&lost),
                    "{name} bit {bit}: {lost} lost, found {found:?}"
                );
            }
        }
    }
    assert!(
        stopped > 50 && cut > 50 && skipped > 50,
        "{stopped} {cut} {skipped}"
    );
}

#[test]
fn torn_tails_are_cut_and_damage_before_them_stops_the_start() {
    let (disk, counts, _) = folder(1);
    let newest = list_segments(&disk)
        .expect("a list")
        .pop()
        .expect("a segment");
    let whole = disk.read(&newest).expect("bytes");
    for tail in [
        vec![0; 4096],
        whole[whole.len() - 30..].to_vec(),
        vec![0xff; 3],
    ] {
        let mut bytes = whole.clone();
        bytes.extend(&tail);
        disk.put(&newest, bytes);
        let replayed =
            log::replay(&disk, Limits::default(), u64::MAX).expect("a torn tail is no damage");
        assert_eq!(
            replayed.report.torn_tail,
            Some(TornTail {
                file: newest.clone(),
                len: tail.len() as u64,
            })
        );
        assert_eq!(replayed.state.all(), counts.all());
    }
    let mut bytes = whole.clone();
    bytes.extend([0; 100]);
    bytes.extend(&whole[whole.len() - 120..]);
    bytes.extend(&whole);
    disk.put(&newest, bytes);
    let error = log::replay(&disk, Limits::default(), u64::MAX)
        .map(|_| ())
        .expect_err("records follow");
    let text = error.to_string();
    assert!(
        text.contains(&newest) && text.contains(&format!("offset {}", whole.len())),
        "{text}"
    );
    disk.put(&newest, whole);

    let oldest = list_segments(&disk).expect("a list").remove(0);
    disk.remove(&oldest).expect("a removal");
    list_snapshots(&disk)
        .expect("a list")
        .iter()
        .for_each(|s| disk.remove(s).expect("a removal"));
    let error = log::replay(&disk, Limits::default(), u64::MAX)
        .map(|_| ())
        .expect_err("a hole");
    assert!(
        error.to_string().contains("expected adds from 0 on"),
        "{error}"
    );
}

#[test]
fn a_disk_that_fails_never_gives_a_wrong_yes() {
    let disk = SimulatedDisk::new(3);
    let Opened {
        mut log,
        state: mut counts,
        ..
    } = open(&disk);
    count(&mut log, &mut counts, &[add(1, 1, 0)], 1).expect("a sound disk");
    disk.fail_next_append();
    let full = count(&mut log, &mut counts, &[add(1, 2, 0)], 2).expect_err("full");
    assert!(matches!(full, AppendError::NotWritten(_)), "{full}");
    assert_eq!(
        count(&mut log, &mut counts, &[add(1, 3, 0)], 3).expect("room again"),
        [2.0]
    );

    disk.fail_syncs();
    let bad = count(&mut log, &mut counts, &[add(1, 4, 0)], 4).expect_err("no sync");
    assert!(matches!(bad, AppendError::OutcomeUnknown(_)), "{bad}");
    let after = count(&mut log, &mut counts, &[add(1, 5, 0)], 5).expect_err("closed");
    assert!(
        matches!(after, AppendError::Closed) && log.is_closed(),
        "{after}"
    );
    let total = open(&disk.after_crash()).state.total(0);
    assert!(total == Some(2.0) || total == Some(3.0), "{total:?}");

    let disk = SimulatedDisk::new(4);
    let mut opened = open(&disk);
    disk.fail_truncations();
    disk.fail_next_append();
    let bad = count(&mut opened.log, &mut opened.state, &[add(1, 1, 0)], 1)
        .expect_err("read-only by now");
    assert!(
        matches!(bad, AppendError::OutcomeUnknown(_)) && opened.log.is_closed(),
        "{bad}"
    );
}

#[test]
fn the_same_adds_give_the_same_bytes_through_any_crash() {
    let (disk, counts, _) = folder(5);
    let replayed = log::replay(&disk, Limits::default(), u64::MAX).expect("sound");
    let whole = snapshot::encode(&counts, replayed.identity);
    assert_eq!(snapshot::encode(&replayed.state, replayed.identity), whole);
    let decoded = snapshot::decode(&whole, Limits::default()).expect("sound");
    assert_eq!(snapshot::encode(&decoded.counts, decoded.identity), whole);
    let part = log::replay(&disk, Limits::default(), 16).expect("sound");
    assert_eq!(part.state.position(), 16, "a replay stops where it is told");
}

#[test]
fn an_emptied_folder_is_another_incarnation_and_a_recovered_one_is_not() {
    let (disk, counts, _) = folder(6);
    let again = log::open(disk, Limits::default(), 99)
        .map_err(|e| e.to_string())
        .expect("sound");
    assert_eq!(
        (again.log.identity().incarnation, again.log.identity().epoch),
        (OWN, 2)
    );
    assert_eq!(again.state.position(), counts.position());
    let empty = log::open(SimulatedDisk::new(7), Limits::default(), 99)
        .map_err(|e| e.to_string())
        .expect("empty");
    assert_eq!(
        (
            empty.log.identity().incarnation,
            empty.log.identity().epoch,
            empty.state.position()
        ),
        (99, 1, 0)
    );
}
