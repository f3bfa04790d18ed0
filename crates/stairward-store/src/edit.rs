//! Editing the settings in the store: read, apply, write if unchanged, and after a lost reply find
//! out by the change id.

use snafu::{ResultExt, Snafu};
use stairward_settings::{
    Edit, EditError, SETTINGS_OBJECT, SettingsDocument, SettingsProblem, SettingsTree,
};
use stairward_types::{ChangeId, ResultCode, Revision};

use crate::client::{PlatformClient, VersionedObject};
use crate::error::{ReadError, WriteError};

/// Times an edit is begun anew because the object changed between reading and writing. A change in
/// between also makes the edit conflict, so more than a few mean that the store misbehaves.
const MAXIMUM_ROUNDS: u32 = 8;

/// An edit that is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EditOutcome {
    /// The revision it made.
    pub revision: Revision,
    /// The document read or written last, which holds the edit.
    pub document: SettingsDocument,
}

/// Why an edit is not in force, or may not be.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EditFailure {
    /// It was refused and certainly did not take effect.
    #[snafu(display("{source}"))]
    Refused {
        /// Why.
        source: EditError,
    },
    /// The store holds settings already.
    #[snafu(display("the store holds settings already, at version {version}"))]
    SettingsExist {
        /// The object's version.
        version: u64,
    },
    /// The tree is not valid as a whole.
    #[snafu(display("the settings are not valid: {} problems", problems.len()))]
    InvalidTree {
        /// Every problem.
        problems: Vec<SettingsProblem>,
    },
    /// The store could not be read, and nothing was written.
    #[snafu(display("nothing was written: {source}"))]
    NotRead {
        /// Why.
        source: ReadError,
    },
    /// The store could not be written, and the edit certainly did not take effect.
    #[snafu(display("{source}"))]
    NotWritten {
        /// Why.
        source: WriteError,
    },
    /// The edit may have taken effect. Sending it again with the same change id is safe.
    #[snafu(display("the edit with change id {change_id} may have taken effect: {reason}"))]
    Unknown {
        /// The edit's change id.
        change_id: ChangeId,
        /// What was seen last.
        reason: String,
    },
}

impl EditFailure {
    /// The result code to show.
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

/// Reads the settings; none when the store holds none.
///
/// # Errors
/// [`ReadError`] when the store does not answer or holds something else.
pub async fn read_settings(
    client: &PlatformClient,
) -> Result<Option<VersionedObject<SettingsDocument>>, ReadError> {
    client.get(SETTINGS_OBJECT).await
}

/// Writes the first settings, at revision 1.
///
/// # Errors
/// [`EditFailure`]; [`EditFailure::SettingsExist`] when there are settings already.
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
            let is_own = may_be_own && holds(client, &document).await;
            if is_own {
                return Ok(document);
            }
            SettingsExistSnafu { version }.fail()
        }
        Err(source) => Err(source).context(NotWrittenSnafu),
    }
}

async fn holds(client: &PlatformClient, document: &SettingsDocument) -> bool {
    read_settings(client)
        .await
        .is_ok_and(|held| held.is_some_and(|held| held.value == *document))
}

/// Makes an edit in the store. Of several that race, exactly one takes effect; the others are
/// refused with [`EditError::Conflict`], which shows the newer revision.
///
/// An edit that had taken effect before counts as made, so that it can be sent again after
/// [`EditFailure::Unknown`]. In a store without settings an edit based on revision 0 makes the first.
///
/// # Errors
/// [`EditFailure`], which tells what is certain.
pub async fn edit_settings(
    client: &PlatformClient,
    edit: &Edit,
) -> Result<EditOutcome, EditFailure> {
    let mut written_without_reply = false;
    for _ in 0..MAXIMUM_ROUNDS {
        let held = match read_settings(client).await {
            Ok(Some(held)) => held,
            Ok(None) => nothing_held(),
            Err(source) if written_without_reply => {
                return unknown(edit, source.to_string());
            }
            Err(source) => return Err(source).context(NotReadSnafu),
        };
        let edited = match held.value.apply(edit) {
            Ok(edited) => edited,
            Err(EditError::AlreadyApplied { revision }) => {
                return Ok(EditOutcome {
                    revision,
                    document: held.value,
                });
            }
            Err(source) => return refused(edit, source),
        };
        let written = client
            .put_if_version(SETTINGS_OBJECT, held.version, &edited)
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

/// What an edit is applied to when the store holds no settings: version 0 does not exist.
fn nothing_held() -> VersionedObject<SettingsDocument> {
    VersionedObject {
        version: 0,
        value: SettingsDocument::empty(),
    }
}

/// A refusal is certain unless the edit is based on a revision before the kept history: it may then
/// be sent again after an unknown outcome, and the history no longer tells whether it took effect.
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
