//! What a gateway held of the shared state, on its disk: records of news, the whole first and changes after it. A torn last record
//! counts as not written.

use crate::session::Held;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use chalkdeck_wal::record;
use prost::Message;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Sets of rules in one record of a whole.
const SETS: usize = 64;
/// Bytes of changes beside which the whole is written anew, if it is no longer than they are.
const LEAST: u64 = 1 << 20;

/// Why the file cannot be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum KeptError {
    /// It is not read or written.
    #[error("{}: {source}", file.display())]
    #[diagnostic(
        code(chalkdeck::keeper::kept_file),
        help("see the path, its rights and the disk's room; until it can be written this gateway does not say that it applies newer rules")
    )]
    File {
        /// Its path.
        file: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// It holds something else.
    #[error("{}: expected what a gateway keeps of the shared state", file.display())]
    #[diagnostic(
        code(chalkdeck::keeper::kept_form),
        help("the file is damaged or another program's: remove it, and the gateway takes calls once it has heard a keeper")
    )]
    Form {
        /// Its path.
        file: PathBuf,
    },
}

/// The file.
#[derive(Debug)]
pub struct Kept {
    path: PathBuf,
    file: Option<File>,
    whole: u64,
    changes: u64,
    /// The version of the last record.
    version: u64,
}

impl Kept {
    /// Reads what an earlier life kept. Errors: see [`KeptError`]; better no start than rules forgotten.
    pub fn open(path: &Path) -> Result<(Kept, Held), KeptError> {
        let failed = |source| KeptError::File {
            file: path.into(),
            source,
        };
        let mut bytes = Vec::new();
        match File::open(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            opened => drop(
                opened
                    .and_then(|mut f| f.read_to_end(&mut bytes))
                    .map_err(failed)?,
            ),
        }
        let (mut held, mut at) = (Held::default(), 0);
        while let Some(body) = record::body_at(&bytes, at) {
            let news = wire::News::decode(body).map_err(|_| KeptError::Form {
                file: path.to_path_buf(),
            })?;
            held.apply(&news);
            at += record::HEADER_LEN + body.len();
        }
        // Only the last record may be torn.
        if at < bytes.len() && (at == 0 || record::exists_from(&bytes, at + 1)) {
            return Err(KeptError::Form {
                file: path.to_path_buf(),
            });
        }
        Ok((
            Kept {
                path: path.to_path_buf(),
                file: None,
                whole: 0,
                changes: 0,
                version: held.version,
            },
            held,
        ))
    }

    /// Keeps news that were applied; returns once they are on the disk. Errors: the disk; the next call writes the whole.
    pub fn keep(&mut self, news: &wire::News, held: &Held) -> Result<(), KeptError> {
        let done = match &mut self.file {
            Some(file) if self.changes < LEAST.max(self.whole) && !news.whole => {
                let mut out = Vec::new();
                // News between that had nothing to be kept are no gap.
                record::append_message(
                    &mut out,
                    &wire::News {
                        since: self.version,
                        ..news.clone()
                    },
                );
                self.changes += out.len() as u64;
                let fits = out.len() <= record::MAX_BODY_LEN;
                if fits {
                    file.write_all(&out).and_then(|()| file.sync_data())
                } else {
                    self.write(held)
                }
            }
            _ => self.write(held),
        };
        self.version = held.version;
        done.map_err(|source| {
            self.file = None;
            KeptError::File {
                file: self.path.clone(),
                source,
            }
        })
    }

    /// The whole, beside the old file and then in its place.
    fn write(&mut self, held: &Held) -> io::Result<()> {
        let mut news = held.to_news();
        let sets = std::mem::take(&mut news.rules);
        let mut out = Vec::new();
        record::append_message(&mut out, &news);
        let part = wire::News {
            version: news.version,
            since: news.version,
            cluster: news.cluster,
            ..wire::News::default()
        };
        for rules in sets.chunks(SETS) {
            record::append_message(
                &mut out,
                &wire::News {
                    rules: rules.to_vec(),
                    ..part.clone()
                },
            );
        }
        let new = self.path.with_extension("new");
        let mut file = File::create(&new)?;
        file.write_all(&out)?;
        file.sync_data()?;
        std::fs::rename(&new, &self.path)?;
        let folder = self
            .path
            .parent()
            .filter(|p| !p.as_os_str().is_empty())
            .unwrap_or(Path::new("."));
        File::open(folder)?.sync_all()?;
        (self.whole, self.changes) = (out.len() as u64, 0);
        self.file = Some(OpenOptions::new().append(true).open(&self.path)?);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
