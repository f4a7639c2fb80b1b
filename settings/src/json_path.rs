//! Paths of values in pretty-printed JSON, for error messages.

/// An object or array that is open on a line.
struct Container {
    path: String,
    /// Index of the next element. `None`: the container is an object.
    next_index: Option<usize>,
}

impl Container {
    /// Path of the member that begins on a line.
    fn member_path(&mut self, line: &str) -> String {
        if let Some(index) = &mut self.next_index {
            let path = format!("{}[{index}]", self.path);
            *index += 1;
            return path;
        }
        let key = line.split_once("\":").map_or(line, |(key, _)| key);
        let key = key.trim_start_matches('"');
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

/// Path of the value on a line, counted from 1, such as `classes[0].worth`. If the line closes an
/// object or array, this is its path. The outermost value has an empty path. `text` is JSON with
/// one member per line.
pub(crate) fn path_on_line(text: &str, line_number: usize) -> String {
    let mut open: Vec<Container> = Vec::new();
    let mut path = String::new();
    for line in text.lines().take(line_number) {
        let line = line.trim().trim_end_matches(',');
        if line == "}" || line == "]" {
            path = open
                .pop()
                .map_or_else(String::new, |container| container.path);
            continue;
        }
        path = open
            .last_mut()
            .map_or_else(String::new, |container| container.member_path(line));
        if line.ends_with(['{', '[']) {
            open.push(Container {
                path: path.clone(),
                next_index: line.ends_with('[').then_some(0),
            });
        }
    }
    path
}
