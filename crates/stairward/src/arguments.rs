//! Reading the command line with `lexopt`.

use std::ffi::OsString;
use std::str::FromStr;

use lexopt::{Arg, Parser, ValueExt as _};

use crate::failure::{Failure, UsageSnafu};

/// What is left of the command line.
pub struct Arguments {
    parser: Parser,
}

/// One thing found on the command line.
pub enum Argument {
    /// An option, without its dashes.
    Option(String),
    /// A value that belongs to no option.
    Value(String),
}

impl Arguments {
    /// Reads the words of a command line, without the program's name.
    pub fn new(words: impl IntoIterator<Item = OsString>) -> Self {
        Self {
            parser: Parser::from_args(words),
        }
    }

    /// The command's name; `None` when help is asked for or nothing is given.
    pub fn command(&mut self) -> Result<Option<String>, Failure> {
        match self.parser.next()? {
            None | Some(Arg::Long("help") | Arg::Short('h')) => Ok(None),
            Some(Arg::Value(name)) => Ok(Some(name.string()?)),
            Some(other) => Err(other.unexpected().into()),
        }
    }

    /// The next option or value.
    pub fn next(&mut self) -> Result<Option<Argument>, Failure> {
        Ok(match self.parser.next()? {
            None => None,
            Some(Arg::Long(name)) => Some(Argument::Option(name.to_owned())),
            Some(Arg::Short('h')) => Some(Argument::Option("help".to_owned())),
            Some(Arg::Short(letter)) => Some(Argument::Option(letter.to_string())),
            Some(Arg::Value(value)) => Some(Argument::Value(value.string()?)),
        })
    }

    /// The text that belongs to the option just read.
    pub fn value(&mut self) -> Result<String, Failure> {
        Ok(self.parser.value()?.string()?)
    }

    /// The value that belongs to the option just read.
    pub fn parsed<T>(&mut self) -> Result<T, Failure>
    where
        T: FromStr,
        T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
    {
        Ok(self.parser.value()?.parse()?)
    }
}

/// The failure for an option or value that the command does not take.
pub fn unexpected<T>(argument: &Argument) -> Result<T, Failure> {
    let message = match argument {
        Argument::Option(name) => format!("there is no option --{name}"),
        Argument::Value(value) => format!("{value:?} is not expected here"),
    };
    UsageSnafu { message }.fail()
}
