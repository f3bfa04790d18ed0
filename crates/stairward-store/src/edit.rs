//! Edits of the settings in the store: read, apply, write if unchanged. After a lost reply the change
//! id shows whether the edit took effect.

use snafu::{ResultExt, Snafu};
use stairward_settings::{
    Edit, EditError, SETTINGS_OBJECT, SettingsDocument, SettingsProblem, SettingsTree,
};
use stairward_types::{ChangeId, ResultCode, Revision};

use crate::client::{PlatformClient, VersionedObject};
use crate::error::{ReadError, WriteError};

/// How often an edit is attempted when the object changes between read and write. Such a change also
/// makes the edit conflict, so more than a few rounds mean that the store is faulty.
const MAXIMUM_ROUNDS: u32 = 8;

/// An edit that has taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditOutcome {
    /// The revision created by the edit.
    pub revision: Revision,
    /// The document last read or written, which contains the edit.
    pub document: SettingsDocument,
}

/// Why an edit did not take effect, or may not have.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EditFailure {
    /// It was refused and did not take effect.
    #[snafu(display("{source}"))]
    Refused {
        /// The reason.
        source: EditError,
    },
    /// The store already contains settings.
    #[snafu(display("the store holds settings already, at version {version}"))]
    SettingsExist {
        /// The object's version.
        version: u64,
    },
    /// The resulting tree is not valid.
    #[snafu(display("the settings are not valid: {} problems", problems.len()))]
    InvalidTree {
        /// All problems found.
        problems: Vec<SettingsProblem>,
    },
    /// The store could not be read, and nothing was written.
    #[snafu(display("nothing was written: {source}"))]
    NotRead {
        /// The read error.
        source: ReadError,
    },
    /// The store could not be written, and the edit did not take effect.
    #[snafu(display("{source}"))]
    NotWritten {
        /// The write error.
        source: WriteError,
    },
    /// The edit may have taken effect. Sending it again with the same change id is safe.
    #[snafu(display("the edit with change id {change_id} may have taken effect: {reason}"))]
    Unknown {
        /// The edit's change id.
        change_id: ChangeId,
        /// The last error.
        reason: String,
    },
}

impl EditFailure {
    /// The result code for this failure.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Refused { source } => source.code().unwrap_or(ResultCode::EditConflict),
            Self::SettingsExist { .. } => ResultCode::EditConflict,
            Self::InvalidTree { .. } => ResultCode::InvalidSettings,
            Self::NotRead { .. } | Self::NotWritten { .. } | Self::Unknown { .. } => {
                ResultCode::StoreUnavailable
            }
        }
    }
}

/// Reads the settings; none if the store contains none.
///
/// # Errors
/// [`ReadError`] when the store does not answer or contains something else.
pub async fn read_settings(
    client: &PlatformClient,
) -> Result<Option<VersionedObject<SettingsDocument>>, ReadError> {
    client.get(SETTINGS_OBJECT).await
}

/// Writes the first settings, at revision 1.
///
/// # Errors
/// [`EditFailure`]; [`EditFailure::SettingsExist`] if the store already contains settings.
pub async fn create_settings(
    client: &PlatformClient,
    tree: SettingsTree,
) -> Result<SettingsDocument, EditFailure> {
    let document = SettingsDocument::initial(tree)
        .map_err(|problems| EditFailure::InvalidTree { problems })?;
    match client.put_if_version(SETTINGS_OBJECT, 0, &document).await {
        Ok(_) => Ok(document),
        Err(WriteError::Conflict {
            version,
            may_be_own,
        }) => {
            let is_own = may_be_own && contains(client, &document).await;
            if is_own {
                return Ok(document);
            }
            SettingsExistSnafu { version }.fail()
        }
        Err(source) => Err(source).context(NotWrittenSnafu),
    }
}

async fn contains(client: &PlatformClient, document: &SettingsDocument) -> bool {
    read_settings(client)
        .await
        .is_ok_and(|stored| stored.is_some_and(|stored| stored.value == *document))
}

/// Applies an edit to the settings in the store. Of several concurrent edits exactly one takes effect; the
/// others are refused with [`EditError::Conflict`], which contains the newer revision.
///
/// An edit that has already taken effect succeeds again, so that it can be repeated after
/// [`EditFailure::Unknown`]. In a store without settings, an edit based on revision 0 creates the first
/// ones.
///
/// # Errors
/// [`EditFailure`], which states whether the edit may have taken effect.
pub async fn edit_settings(
    client: &PlatformClient,
    edit: &Edit,
) -> Result<EditOutcome, EditFailure> {
    let mut written_without_reply = false;
    for _ in 0..MAXIMUM_ROUNDS {
        let stored = match read_settings(client).await {
            Ok(Some(stored)) => stored,
            Ok(None) => missing_settings(),
            Err(source) if written_without_reply => {
                return unknown(edit, source.to_string());
            }
            Err(source) => return Err(source).context(NotReadSnafu),
        };
        let edited = match stored.value.apply(edit) {
            Ok(edited) => edited,
            Err(EditError::AlreadyApplied { revision }) => {
                return Ok(EditOutcome {
                    revision,
                    document: stored.value,
                });
            }
            Err(source) => return refused(edit, source),
        };
        let written = client
            .put_if_version(SETTINGS_OBJECT, stored.version, &edited)
            .await;
        match written {
            Ok(_) => {
                return Ok(EditOutcome {
                    revision: edited.revision(),
                    document: edited,
                });
            }
            Err(WriteError::Conflict { .. }) => {}
            Err(WriteError::Unknown { .. }) => written_without_reply = true,
            Err(source) if written_without_reply => return unknown(edit, source.to_string()),
            Err(source) => return Err(source).context(NotWrittenSnafu),
        }
    }
    unknown(edit, "the store kept changing".to_owned())
}

/// The empty document that an edit is applied to if the store contains no settings; version 0 stands for a missing
/// object.
fn missing_settings() -> VersionedObject<SettingsDocument> {
    VersionedObject {
        version: 0,
        value: SettingsDocument::empty(),
    }
}

/// Converts a refusal to a failure. The outcome is unknown if the edit is based on a revision before the
/// stored history: the edit may be a repetition, and the history no longer shows whether it took effect.
fn refused(edit: &Edit, source: EditError) -> Result<EditOutcome, EditFailure> {
    match source {
        EditError::Conflict {
            changed_since: None,
            ..
        } => unknown(
            edit,
            format!("{source}; the kept history does not reach back so far"),
        ),
        source => Err(source).context(RefusedSnafu),
    }
}

fn unknown(edit: &Edit, reason: String) -> Result<EditOutcome, EditFailure> {
    UnknownSnafu {
        change_id: edit.change_id,
        reason,
    }
    .fail()
}
