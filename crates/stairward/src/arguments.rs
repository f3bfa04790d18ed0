//! Parses the command line with `lexopt`.

use std::ffi::OsString;
use std::str::FromStr;

use lexopt::{Arg, Parser, ValueExt as _};

use crate::failure::{Failure, UsageSnafu};

/// The arguments that have not been read yet.
pub struct Arguments {
    parser: Parser,
}

/// An argument of the command line.
pub enum Argument {
    /// An option, without its dashes.
    Option(String),
    /// A positional value.
    Value(String),
}

impl Arguments {
    /// Parses the arguments of a command line, without the program's name.
    pub fn new(arguments: impl IntoIterator<Item = OsString>) -> Self {
        Self {
            parser: Parser::from_args(arguments),
        }
    }

    /// The command's name; `None` if help is requested or there are no arguments.
    pub fn command(&mut self) -> Result<Option<String>, Failure> {
        match self.parser.next()? {
            None | Some(Arg::Long("help") | Arg::Short('h')) => Ok(None),
            Some(Arg::Value(name)) => Ok(Some(name.string()?)),
            Some(other) => Err(other.unexpected().into()),
        }
    }

    /// The next option or positional value.
    pub fn next(&mut self) -> Result<Option<Argument>, Failure> {
        Ok(match self.parser.next()? {
            None => None,
            Some(Arg::Long(name)) => Some(Argument::Option(name.to_owned())),
            Some(Arg::Short('h')) => Some(Argument::Option("help".to_owned())),
            Some(Arg::Short(letter)) => Some(Argument::Option(letter.to_string())),
            Some(Arg::Value(value)) => Some(Argument::Value(value.string()?)),
        })
    }

    /// The value of the option just read, as text.
    pub fn value(&mut self) -> Result<String, Failure> {
        Ok(self.parser.value()?.string()?)
    }

    /// The value of the option just read, parsed.
    pub fn parsed<T>(&mut self) -> Result<T, Failure>
    where
        T: FromStr,
        T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
    {
        Ok(self.parser.value()?.parse()?)
    }
}

/// Fails because the command does not accept an option or value.
pub fn unexpected<T>(argument: &Argument) -> Result<T, Failure> {
    let message = match argument {
        Argument::Option(name) => format!("unknown option --{name}"),
        Argument::Value(value) => format!("unexpected argument {value:?}"),
    };
    UsageSnafu { message }.fail()
}
