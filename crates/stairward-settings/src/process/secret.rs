//! Sources of keys, passwords and certificates.

use std::collections::BTreeMap;
use std::fmt;
use std::io::Read;
use std::path::{Path, PathBuf};

use stairward_types::ResultCode;
use toml::de::DeValue;

use crate::problem::{ProblemKind, SettingsProblem};
use crate::toml_text::{self, LineIndex};
use crate::value::Value;
use crate::value_kind::ValueKind;

/// Largest secret file accepted, in bytes.
const MAXIMUM_SECRET_BYTES: usize = 64 << 10;

/// Largest users file accepted, in bytes.
const MAXIMUM_USERS_BYTES: usize = 4 << 20;

/// Secret bytes. Their `Debug` output is redacted, so that they do not appear in logs.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Creates a secret from bytes.
    #[must_use]
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// The secret bytes.
    #[must_use]
    pub fn expose(&self) -> &[u8] {
        &self.0
    }

    /// The secret as text; `None` when it is not valid UTF-8.
    #[must_use]
    pub fn expose_text(&self) -> Option<&str> {
        std::str::from_utf8(&self.0).ok()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

/// The source of a key or password.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SecretSource {
    /// A file; trailing line breaks are not part of the secret.
    File(PathBuf),
    /// The secret itself, for programs that embed nodes.
    Inline(Secret),
}

impl SecretSource {
    /// Loads the secret. Files are read again on each call.
    ///
    /// # Errors
    /// [`SettingsProblem`] when the file cannot be read, is empty or larger than 64 KiB.
    pub fn load(&self) -> Result<Secret, SettingsProblem> {
        match self {
            Self::Inline(secret) => Ok(secret.clone()),
            Self::File(path) => read_secret(path),
        }
    }
}

/// The users that may log in, with their passwords.
pub type Users = BTreeMap<String, Secret>;

/// The source of the users.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsersSource {
    /// A TOML file with one `user = "password"` per line.
    File(PathBuf),
    /// The users themselves, for programs that embed nodes.
    Inline(Users),
}

impl UsersSource {
    /// Loads the users. Files are read again on each call.
    ///
    /// # Errors
    /// All problems of the file.
    pub fn load(&self) -> Result<Users, Vec<SettingsProblem>> {
        match self {
            Self::Inline(users) => Ok(users.clone()),
            Self::File(path) => {
                let text = read_text(path).map_err(|problem| vec![problem])?;
                parse_users(path, &text)
            }
        }
    }
}

/// A certificate chain and its private key, both PEM files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate chain, starting with the server's own certificate.
    pub certificate_file: PathBuf,
    /// The private key.
    pub key_file: PathBuf,
}

fn file_problem(path: &Path, kind: ProblemKind) -> SettingsProblem {
    SettingsProblem {
        path: path.display().to_string(),
        option: None,
        line: None,
        code: ResultCode::InvalidProcessFile,
        kind: Box::new(kind),
    }
}

fn unreadable(path: &Path, reason: impl fmt::Display) -> SettingsProblem {
    let kind = ProblemKind::Unreadable {
        reason: reason.to_string(),
    };
    file_problem(path, kind)
}

fn read_bounded(path: &Path, maximum_bytes: usize) -> Result<Vec<u8>, SettingsProblem> {
    let file = std::fs::File::open(path).map_err(|error| unreadable(path, error))?;
    let mut bytes = Vec::new();
    file.take(maximum_bytes as u64 + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| unreadable(path, error))?;
    if bytes.len() > maximum_bytes {
        let reason = format!("the file is larger than {maximum_bytes} bytes");
        return Err(unreadable(path, reason));
    }
    Ok(bytes)
}

fn read_secret(path: &Path) -> Result<Secret, SettingsProblem> {
    let mut bytes = read_bounded(path, MAXIMUM_SECRET_BYTES)?;
    while bytes
        .last()
        .is_some_and(|byte| matches!(byte, b'\n' | b'\r'))
    {
        bytes.pop();
    }
    if bytes.is_empty() {
        return Err(unreadable(path, "the file is empty"));
    }
    Ok(Secret(bytes))
}

fn read_text(path: &Path) -> Result<String, SettingsProblem> {
    let bytes = read_bounded(path, MAXIMUM_USERS_BYTES)?;
    String::from_utf8(bytes).map_err(|error| unreadable(path, error))
}

fn parse_users(path: &Path, text: &str) -> Result<Users, Vec<SettingsProblem>> {
    let lines = LineIndex::new(text);
    let table =
        toml_text::parse(text, &lines, ResultCode::InvalidProcessFile).map_err(|problem| {
            vec![SettingsProblem {
                path: path.display().to_string(),
                ..problem
            }]
        })?;
    let mut users = Users::new();
    let mut problems = Vec::new();
    for (user, password) in &table {
        let name = user.get_ref();
        let checked = check_user(name).and_then(|()| read_password(password.get_ref()));
        match checked {
            Ok(password) => {
                users.insert(name.to_string(), password);
            }
            Err(kind) => problems.push(SettingsProblem {
                option: Some(name.to_string()),
                line: Some(lines.line(&user.span())),
                ..file_problem(path, kind)
            }),
        }
    }
    if problems.is_empty() {
        return Ok(users);
    }
    problems.sort_by_key(|problem| problem.line);
    Err(problems)
}

fn check_user(name: &str) -> Result<(), ProblemKind> {
    ValueKind::Text.check(&Value::from(name))
}

fn read_password(value: &DeValue<'_>) -> Result<Secret, ProblemKind> {
    value
        .as_str()
        .filter(|password| !password.is_empty())
        .map(Secret::new)
        .ok_or(ProblemKind::WrongType {
            expected: "a password that is not empty",
            found: value.type_str(),
        })
}
