//! Persists operators' overrides of sites, so that a gateway that restarts during a drain sends no requests to the drained site.

use crate::base::errors::SiteOverridesError;
use chalkdeck_proto::chalkdeck::config::v1::HeldSites;
use chalkdeck_proto::text;
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

/// The name of the message type in the file.
const MESSAGE_NAME: &str = "chalkdeck.config.v1.HeldSites";
/// The maximum number of sites that may be out of service by override.
const MAX_OUT_OF_SERVICE_SITES: usize = 256;
/// The extension of the new file before it is renamed to the final one.
const NEW_FILE_EXTENSION: &str = "new";

/// The effect of an override that persists over a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SiteServiceState {
    /// The site gets no new requests until an operator restores it.
    OutOfService,
    /// The site is used again.
    InService,
}

/// The names of the sites that operators have taken out of service.
pub(crate) struct SiteOverrides {
    /// The file that persists them; `None`: they last until the gateway ends.
    file: Option<PathBuf>,
    out_of_service: BTreeSet<String>,
}

impl SiteOverrides {
    /// Reads the persisted overrides.
    ///
    /// # Errors
    /// The file exists but can't be read or parsed; the error names the line. The gateway must not start then, as it might
    /// send requests to a drained site.
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

    /// The names of the sites that are out of service.
    pub(crate) fn out_of_service(&self) -> impl Iterator<Item = &str> {
        self.out_of_service.iter().map(String::as_str)
    }

    /// Records and persists an override of a site.
    ///
    /// # Errors
    /// The file could not be written, or too many sites would be out of service. Nothing is changed then.
    pub(crate) fn persist(
        &mut self,
        site: &str,
        service_state: SiteServiceState,
    ) -> Result<(), SiteOverridesError> {
        let mut sites = self.out_of_service.clone();
        match service_state {
            SiteServiceState::OutOfService => sites.insert(site.to_string()),
            SiteServiceState::InService => sites.remove(site),
        };
        if sites.len() > MAX_OUT_OF_SERVICE_SITES {
            return Err(SiteOverridesError::TooMany(MAX_OUT_OF_SERVICE_SITES));
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
        text::parse(MESSAGE_NAME, &content).map_err(|error| SiteOverridesError::Malformed {
            file: path.into(),
            line: error.line,
            what: error.message,
        })?;
    Ok(message.sites.into_iter().collect())
}

/// Replaces the file atomically: writes a new file beside it and renames that one, so that no reader sees a partial file.
fn replace_file(file: &Path, sites: &BTreeSet<String>) -> io::Result<()> {
    let message = HeldSites {
        sites: sites.iter().cloned().collect(),
    };
    let content = text::print(MESSAGE_NAME, &message).unwrap_or_default();
    let new_file = file.with_extension(NEW_FILE_EXTENSION);
    std::fs::write(&new_file, content)?;
    std::fs::rename(&new_file, file)
}

#[cfg(test)]
mod tests;
