//! An operator's words on sites, kept over restarts: a gateway that starts in the middle of a drain must know of it.

use crate::base::failed::SiteOverridesError;
use chalkdeck_proto::chalkdeck::config::v1::HeldSites;
use chalkdeck_proto::text;
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

/// The name of the file's message.
const MESSAGE: &str = "chalkdeck.config.v1.HeldSites";
/// Sites that may be kept out at once.
const MOST: usize = 256;

/// Names of sites that are kept out.
pub(crate) struct SiteOverrides {
    file: Option<PathBuf>,
    held: BTreeSet<String>,
}

impl SiteOverrides {
    /// Reads them. Errors: a file that is there but is not sound, with its line; better no start than a drain forgotten.
    pub(crate) fn read(file: Option<&Path>) -> Result<SiteOverrides, SiteOverridesError> {
        let Some(path) = file else {
            return Ok(SiteOverrides {
                file: None,
                held: BTreeSet::new(),
            });
        };
        let held = match std::fs::read_to_string(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => BTreeSet::new(),
            Err(source) => {
                return Err(SiteOverridesError::File {
                    file: path.into(),
                    source,
                })
            }
            Ok(content) => {
                let held: HeldSites =
                    text::parse(MESSAGE, &content).map_err(|e| SiteOverridesError::Form {
                        file: path.into(),
                        line: e.line,
                        what: e.what,
                    })?;
                held.sites.into_iter().collect()
            }
        };
        Ok(SiteOverrides {
            file: Some(path.to_path_buf()),
            held,
        })
    }

    pub(crate) fn held(&self) -> impl Iterator<Item = &str> {
        self.held.iter().map(String::as_str)
    }

    /// Keeps a word. Errors: it could not be written; then it is not taken either.
    pub(crate) fn keep(&mut self, site: &str, out: bool) -> Result<(), SiteOverridesError> {
        let mut held = self.held.clone();
        if out {
            held.insert(site.to_string());
        } else {
            held.remove(site);
        }
        if held.len() > MOST {
            return Err(SiteOverridesError::Most(MOST));
        }
        if let Some(file) = &self.file {
            let message = HeldSites {
                sites: held.iter().cloned().collect(),
            };
            let content = text::print(MESSAGE, &message).unwrap_or_default();
            let new = file.with_extension("new");
            let written = std::fs::write(&new, content).and_then(|()| std::fs::rename(&new, file));
            written.map_err(|source| SiteOverridesError::File {
                file: file.clone(),
                source,
            })?;
        }
        self.held = held;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
