//! A disk in memory that fails, stops at any call, and after a stop keeps only what the rules of a file system promise.
use crate::disk::Disk;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug, Default)]
struct Data {
    bytes: Vec<u8>,
    synced: usize,
}

#[derive(Clone, Debug)]
enum NameOp {
    Make(String, usize),
    Rename(String, String),
    Remove(String),
}

fn apply(names: &mut BTreeMap<String, usize>, op: &NameOp) {
    match op {
        NameOp::Make(name, id) => drop(names.insert(name.clone(), *id)),
        NameOp::Rename(from, to) => {
            if let Some(id) = names.remove(from) {
                names.insert(to.clone(), id);
            }
        }
        NameOp::Remove(name) => drop(names.remove(name)),
    }
}

#[derive(Debug)]
struct Inner {
    data: Vec<Data>,
    names: BTreeMap<String, usize>,
    safe_names: BTreeMap<String, usize>,
    /// Changes of names since the folder was synced.
    unsafe_ops: Vec<NameOp>,
    calls: u64,
    stop_at: u64,
    /// The next append writes a part and fails; the next sync fails; nothing can be cut.
    full: bool,
    bad_sync: bool,
    no_cut: bool,
    rng: fastrand::Rng,
}

/// The disk.
#[derive(Clone, Debug)]
pub struct Sim(Arc<Mutex<Inner>>);

impl Sim {
    /// An empty one; what a stop leaves is drawn by the seed.
    pub fn new(seed: u64) -> Sim {
        Sim(Arc::new(Mutex::new(Inner {
            data: Vec::new(),
            names: BTreeMap::new(),
            safe_names: BTreeMap::new(),
            unsafe_ops: Vec::new(),
            calls: 0,
            stop_at: u64::MAX,
            full: false,
            bad_sync: false,
            no_cut: false,
            rng: fastrand::Rng::with_seed(seed),
        })))
    }
    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().expect("no panic inside"))
    }
    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.with(|d| d.calls)
    }
    /// Stops at so many calls from now.
    pub fn stop_in(&self, calls: u64) {
        self.with(|d| d.stop_at = d.calls.saturating_add(calls));
    }
    /// Whether it has stopped.
    pub fn stopped(&self) -> bool {
        self.with(|d| d.calls > d.stop_at)
    }
    /// The next append writes a part and fails.
    pub fn fill(&self) {
        self.with(|d| d.full = true);
    }
    /// Every sync fails from here on.
    pub fn break_sync(&self) {
        self.with(|d| d.bad_sync = true);
    }
    /// Nothing can be cut from here on.
    pub fn break_cut(&self) {
        self.with(|d| d.no_cut = true);
    }
    /// A file that is there and safe.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        self.with(|d| {
            let synced = bytes.len();
            d.data.push(Data { bytes, synced });
            let id = d.data.len() - 1;
            d.names.insert(name.into(), id);
            d.safe_names.insert(name.into(), id);
        });
    }
    /// What the machine finds when it is up again.
    pub fn after_crash(&self) -> Sim {
        self.with(|d| {
            let mut names = d.safe_names.clone();
            let kept = d.rng.usize(0..=d.unsafe_ops.len());
            d.unsafe_ops[..kept]
                .iter()
                .for_each(|op| apply(&mut names, op));
            let mut data = d.data.clone();
            for file in &mut data {
                let kept = d.rng.usize(file.synced..=file.bytes.len());
                // Blocks come back in any order, or as zeros.
                if kept > file.synced && d.rng.u8(..3) == 0 {
                    let hole = d.rng.usize(file.synced..kept);
                    file.bytes[hole..kept].fill(0);
                }
                file.bytes.truncate(kept);
                file.synced = kept;
            }
            let seed = d.rng.u64(..);
            let sim = Sim::new(seed);
            sim.with(|n| (n.data, n.names, n.safe_names) = (data, names.clone(), names));
            sim
        })
    }
    fn call(&self) -> io::Result<()> {
        self.with(|d| {
            d.calls += 1;
            if d.calls > d.stop_at {
                Err(io::Error::other("the machine stopped"))
            } else {
                Ok(())
            }
        })
    }
}

impl Disk for Sim {
    type File = usize;
    fn list(&self) -> io::Result<Vec<String>> {
        self.call()?;
        Ok(self.with(|d| d.names.keys().cloned().collect()))
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.call()?;
        self.with(|d| d.names.get(name).map(|id| d.data[*id].bytes.clone()))
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
    fn create(&self, name: &str) -> io::Result<usize> {
        self.call()?;
        self.with(|d| {
            if d.names.contains_key(name) {
                return Err(io::ErrorKind::AlreadyExists.into());
            }
            d.data.push(Data::default());
            let id = d.data.len() - 1;
            d.names.insert(name.into(), id);
            d.unsafe_ops.push(NameOp::Make(name.into(), id));
            Ok(id)
        })
    }
    fn append(&self, file: &mut usize, bytes: &[u8]) -> io::Result<()> {
        let dies = self.with(|d| d.calls + 1 > d.stop_at && d.calls <= d.stop_at);
        let short = self.with(|d| std::mem::take(&mut d.full));
        if dies || short {
            self.with(|d| {
                let part = d.rng.usize(0..=bytes.len());
                d.data[*file].bytes.extend(&bytes[..part]);
            });
        }
        self.call()?;
        if short {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.with(|d| d.data[*file].bytes.extend(bytes));
        Ok(())
    }
    fn sync(&self, file: &mut usize) -> io::Result<()> {
        self.call()?;
        if self.with(|d| d.bad_sync) {
            return Err(io::Error::other("input/output error"));
        }
        self.with(|d| d.data[*file].synced = d.data[*file].bytes.len());
        Ok(())
    }
    fn cut(&self, name: &str, len: u64) -> io::Result<()> {
        self.call()?;
        self.with(|d| {
            if d.no_cut {
                return Err(io::ErrorKind::ReadOnlyFilesystem.into());
            }
            let id = d.names[name];
            d.data[id].bytes.truncate(len as usize);
            d.data[id].synced = len as usize;
            Ok(())
        })
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.call()?;
        self.names_change(NameOp::Rename(from.into(), to.into()));
        Ok(())
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.call()?;
        self.names_change(NameOp::Remove(name.into()));
        Ok(())
    }
    fn sync_folder(&self) -> io::Result<()> {
        self.call()?;
        self.with(|d| {
            d.safe_names = d.names.clone();
            d.unsafe_ops.clear();
        });
        Ok(())
    }
}

impl Sim {
    fn names_change(&self, op: NameOp) {
        self.with(|d| {
            apply(&mut d.names, &op);
            d.unsafe_ops.push(op);
        });
    }
}
