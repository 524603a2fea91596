//! The configuration: fleet-wide defaults and exceptions with written reasons.

mod changes;
mod setting;

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use eyre::{ensure, eyre};
use serde::{Deserialize, Serialize};

pub use changes::{Changes, highest};
pub use setting::{SCHEMA, Setting, check_value, schema_of};

use crate::model::{Class, Revision};

/// The revision and the content hash of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Revised {
    /// The revision.
    pub revision: Revision,
    /// The first 8 bytes of the SHA-256 of the encoded configuration.
    pub hash: u64,
}

impl fmt::Display for Revised {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.revision, self.hash)
    }
}

/// The scope that an exception applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Scope {
    /// All calls of the named tenant.
    Tenant(Box<str>),
    /// All calls to the named pool.
    Pool(Box<str>),
    /// All calls of a class.
    Class(Class),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::Tenant(name) => write!(f, "tenant:{name}"),
            Scope::Pool(name) => write!(f, "pool:{name}"),
            Scope::Class(class) => write!(f, "class:{class}"),
        }
    }
}

impl FromStr for Scope {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Scope> {
        let (kind, name) = text
            .split_once(':')
            .ok_or_else(|| eyre!("scope {text:?} is not of the form \"KIND:NAME\""))?;
        ensure!(!name.is_empty(), "scope {text:?} has an empty name");
        match kind {
            "tenant" => Ok(Scope::Tenant(name.into())),
            "pool" => Ok(Scope::Pool(name.into())),
            "class" => Ok(Scope::Class(name.parse()?)),
            _ => Err(eyre!("scope {text:?} is unknown: expected tenant:, pool: or class:")),
        }
    }
}

/// A value that replaces the default of a setting within a scope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exception {
    /// The value, as text.
    pub value: Box<str>,
    /// The operator who created the exception.
    pub author: Box<str>,
    /// The written reason for the exception.
    pub reason: Box<str>,
}

/// An edit of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Set a default for the whole fleet.
    Set {
        /// The name of the setting.
        name: Box<str>,
        /// The new value, as text.
        value: Box<str>,
    },
    /// Create or replace an exception.
    Except {
        /// The scope of the exception.
        scope: Scope,
        /// The name of the setting.
        name: Box<str>,
        /// The value, the author and the reason.
        exception: Exception,
    },
    /// Remove an exception.
    Drop {
        /// The scope of the exception.
        scope: Scope,
        /// The name of the setting.
        name: Box<str>,
    },
}

/// A change of the configuration that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identifies the change, so that a resend is recognised.
    pub id: Box<str>,
    /// The revision that the change is based on; the change is applied only to this one.
    pub base: Revision,
    /// The operator who requests the change.
    pub author: Box<str>,
    /// The edit to apply.
    pub edit: Edit,
}

/// A revision of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Config {
    /// The revision; it increases by one with each edit.
    pub revision: Revision,
    /// Defaults that replace the built-in values, by the name of the setting.
    pub defaults: BTreeMap<Box<str>, Box<str>>,
    /// Exceptions by their scope and the name of the setting.
    pub exceptions: BTreeMap<(Scope, Box<str>), Exception>,
}

impl Config {
    /// Returns the revision and the content hash.
    pub fn revised(&self) -> Revised {
        use sha2::{Digest, Sha256};
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let digest = Sha256::digest(&bytes);
        let head = digest.first_chunk::<8>().copied().unwrap_or_default();
        Revised { revision: self.revision, hash: u64::from_le_bytes(head) }
    }

    /// Returns the next revision of the configuration with an edit applied, or why the edit is
    /// invalid.
    ///
    /// ```
    /// use dotterelpin::control::config::{Config, Edit};
    ///
    /// let edit = Edit::Set { name: "call.deadline_ms".into(), value: "9000".into() };
    /// let config = Config::default().edited(&edit).unwrap();
    /// assert_eq!(config.revision.0, 1);
    /// let wrong = Edit::Set { name: "call.deadline_ms".into(), value: "soon".into() };
    /// assert!(config.edited(&wrong).is_err());
    /// ```
    pub fn edited(&self, edit: &Edit) -> eyre::Result<Config> {
        let mut next = self.clone();
        match edit {
            Edit::Set { name, value } => {
                check_value(name, value)?;
                next.defaults.insert(name.clone(), value.clone());
            }
            Edit::Except { scope, name, exception } => {
                check_value(name, &exception.value)?;
                ensure!(!exception.reason.trim().is_empty(), "an exception needs a written reason");
                ensure!(!exception.author.trim().is_empty(), "an exception needs an author");
                next.exceptions.insert((scope.clone(), name.clone()), exception.clone());
            }
            Edit::Drop { scope, name } => {
                let key = (scope.clone(), name.clone());
                let found = next.exceptions.remove(&key);
                ensure!(found.is_some(), "there is no exception of {name} for {scope}");
            }
        }
        next.revision = Revision(self.revision.0 + 1);
        Ok(next)
    }

    /// Returns the value of a setting for a call: that of an exception for the tenant, else for the
    /// pool, else for the class, else the fleet-wide default.
    pub fn value(&self, setting: Setting, tenant: &str, pool: &str, class: Class) -> u64 {
        let name: Box<str> = setting.as_str().into();
        let scopes = [Scope::Tenant(tenant.into()), Scope::Pool(pool.into()), Scope::Class(class)];
        let exception = scopes.into_iter().find_map(|s| self.exceptions.get(&(s, name.clone())));
        let text = exception.map(|e| &e.value).or_else(|| self.defaults.get(&name));
        text.and_then(|t| t.parse().ok()).unwrap_or(setting.built_in())
    }

    /// Returns the fleet-wide default of a setting.
    pub fn default_value(&self, setting: Setting) -> u64 {
        let text = self.defaults.get(setting.as_str());
        text.and_then(|t| t.parse().ok()).unwrap_or(setting.built_in())
    }
}
