//! Errors of file operations, with the path in their text.

use std::io;
use std::path::Path;

/// EMFILE and ENFILE: the process or the system has no file descriptor left.
const DESCRIPTOR_SHORTAGE_ERRNOS: [i32; 2] = [24, 23];

/// An error and the path of the file that it concerns.
#[derive(Debug)]
struct PathError {
    path: String,
    source: io::Error,
}

impl std::fmt::Display for PathError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.source)
    }
}

impl std::error::Error for PathError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

/// Adds the path to an error's text. The kind stays the same.
pub fn with_path(path: &Path, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), PathError { path: path.display().to_string(), source: error })
}

/// Whether an operation failed because no file descriptor was left.
pub fn is_descriptor_shortage(error: &io::Error) -> bool {
    let named = error.get_ref().and_then(|inner| inner.downcast_ref::<PathError>());
    let errno = named.map_or(error, |named| &named.source).raw_os_error();
    errno.is_some_and(|errno| DESCRIPTOR_SHORTAGE_ERRNOS.contains(&errno))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_shortage_is_recognized_with_and_without_a_path_and_the_kind_is_kept() {
        let named = |errno| with_path(Path::new("segment"), io::Error::from_raw_os_error(errno));
        assert!(DESCRIPTOR_SHORTAGE_ERRNOS.iter().all(|errno| is_descriptor_shortage(&named(*errno))));
        assert!(is_descriptor_shortage(&io::Error::from_raw_os_error(DESCRIPTOR_SHORTAGE_ERRNOS[0])));
        let missing = named(2);
        assert!(missing.kind() == io::ErrorKind::NotFound && !is_descriptor_shortage(&missing));
        assert!(missing.to_string().starts_with("segment: "));
    }
}
