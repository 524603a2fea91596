//! The file operations of a data folder, apart from the file system that executes them.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// An open file of a data folder. What was written lasts only once it is synced.
pub trait DataFile: Read + Write + Send {
    /// Returns the length in bytes.
    fn length(&self) -> io::Result<u64>;

    /// Cuts the file to a length and moves to its end.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Makes the content and the length durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// The files of a data folder, by name. A creation, a removal or a rename lasts only once the folder
/// is synced.
pub trait DataFolder: Send {
    /// Returns the path of a file for messages to the operator.
    fn path(&self, name: &str) -> PathBuf;

    /// Opens a file for reading and writing, and creates it if it does not exist.
    fn open(&self, name: &str) -> io::Result<Box<dyn DataFile>>;

    /// Creates an empty file in place of an existing one.
    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>>;

    /// Reads a whole file; `None` if it does not exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Renames a file, in place of an existing one of the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file, if it exists.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes the names of the files durable.
    fn sync(&self) -> io::Result<()>;
}

/// A data folder of the operating system.
#[derive(Debug)]
pub struct SystemFolder {
    path: PathBuf,
}

impl SystemFolder {
    /// Opens a folder. If it does not exist, it is created, and outlasts a loss of power from then on.
    ///
    /// ```
    /// use dotterelpin::control::disk::{DataFolder, SystemFolder};
    ///
    /// let path = std::env::temp_dir().join(format!("dotterelpin-folder-{}", std::process::id()));
    /// let folder = SystemFolder::open(&path).unwrap();
    /// assert_eq!(folder.read("journal").unwrap(), None);
    /// std::fs::remove_dir(path).unwrap();
    /// ```
    pub fn open(path: &Path) -> io::Result<SystemFolder> {
        let missing: Vec<&Path> = path.ancestors().take_while(|p| !p.exists()).collect();
        std::fs::create_dir_all(path)?;
        for created in missing {
            let parent = created.parent().filter(|p| !p.as_os_str().is_empty());
            File::open(parent.unwrap_or(Path::new(".")))?.sync_all()?;
        }
        Ok(SystemFolder { path: path.to_path_buf() })
    }
}

impl DataFile for File {
    fn length(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)?;
        self.seek(SeekFrom::Start(length))?;
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

impl DataFolder for SystemFolder {
    fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        let mut options = OpenOptions::new();
        let file = options.create(true).truncate(false).read(true).write(true);
        Ok(Box::new(file.open(self.path(name))?))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        Ok(Box::new(File::create(self.path(name))?))
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.path(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path(from), self.path(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match std::fs::remove_file(self.path(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
