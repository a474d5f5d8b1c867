//! Operators' overrides of sites, persisted over restarts: a gateway that starts in the middle of a drain must know of it.

use crate::base::errors::SiteOverridesError;
use chalkdeck_proto::chalkdeck::config::v1::HeldSites;
use chalkdeck_proto::text;
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

/// The name of the file's message.
const MESSAGE: &str = "chalkdeck.config.v1.HeldSites";
/// Sites that may be out of service by override at once.
const MAX_SITES: usize = 256;
/// The extension of the file that replaces the old one by rename.
const NEW_FILE_EXTENSION: &str = "new";

/// What an override asks for, as far as it outlasts the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SitePlacement {
    /// The site gets no new requests until it is restored.
    OutOfService,
    /// The site is used again.
    InService,
}

/// Names of the sites that operators have taken out of service.
pub(crate) struct SiteOverrides {
    /// Where they are persisted; `None`: nowhere.
    file: Option<PathBuf>,
    out_of_service: BTreeSet<String>,
}

impl SiteOverrides {
    /// Reads the persisted overrides.
    ///
    /// # Errors
    /// The file is there but can't be read or parsed; the line is named. A start that forgot a drain would be worse than no start.
    pub(crate) fn load(file: Option<&Path>) -> Result<SiteOverrides, SiteOverridesError> {
        let out_of_service = match file {
            Some(path) => read_sites(path)?,
            None => BTreeSet::new(),
        };
        Ok(SiteOverrides {
            file: file.map(Path::to_path_buf),
            out_of_service,
        })
    }

    /// The sites that are out of service, by name.
    pub(crate) fn out_of_service(&self) -> impl Iterator<Item = &str> {
        self.out_of_service.iter().map(String::as_str)
    }

    /// Persists an override of a site.
    ///
    /// # Errors
    /// It could not be written, or there are too many; then nothing is changed.
    pub(crate) fn persist(
        &mut self,
        site: &str,
        placement: SitePlacement,
    ) -> Result<(), SiteOverridesError> {
        let mut sites = self.out_of_service.clone();
        match placement {
            SitePlacement::OutOfService => sites.insert(site.to_string()),
            SitePlacement::InService => sites.remove(site),
        };
        if sites.len() > MAX_SITES {
            return Err(SiteOverridesError::TooMany(MAX_SITES));
        }
        if let Some(file) = &self.file {
            replace_file(file, &sites).map_err(|source| SiteOverridesError::File {
                file: file.clone(),
                source,
            })?;
        }
        self.out_of_service = sites;
        Ok(())
    }
}

fn read_sites(path: &Path) -> Result<BTreeSet<String>, SiteOverridesError> {
    let content = match std::fs::read_to_string(path) {
        Ok(content) => content,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(BTreeSet::new()),
        Err(source) => {
            return Err(SiteOverridesError::File {
                file: path.into(),
                source,
            })
        }
    };
    let message: HeldSites =
        text::parse(MESSAGE, &content).map_err(|error| SiteOverridesError::Malformed {
            file: path.into(),
            line: error.line,
            what: error.what,
        })?;
    Ok(message.sites.into_iter().collect())
}

/// Writes the new file beside the old one and renames it, so that readers never see a part.
fn replace_file(file: &Path, sites: &BTreeSet<String>) -> io::Result<()> {
    let message = HeldSites {
        sites: sites.iter().cloned().collect(),
    };
    let content = text::print(MESSAGE, &message).unwrap_or_default();
    let new_file = file.with_extension(NEW_FILE_EXTENSION);
    std::fs::write(&new_file, content)?;
    std::fs::rename(&new_file, file)
}

#[cfg(test)]
mod tests;
