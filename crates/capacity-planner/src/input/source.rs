//! The text of an input, in which errors are located by line.

use super::{FieldPath, InputError, InputProblem};

/// The number of the first line of a text.
const FIRST_LINE: usize = 1;

/// The name and the text of an input file.
pub(super) struct Source<'a> {
    pub(super) file: &'a str,
    pub(super) text: &'a str,
}

impl Source<'_> {
    /// An error at the `index`th occurrence of a field of the input.
    pub(super) fn error(&self, field: &str, index: usize, problem: InputProblem) -> InputError {
        self.error_at_line(self.line_of(field, index), problem)
    }

    pub(super) fn error_at_line(&self, line: usize, problem: InputProblem) -> InputError {
        InputError {
            file: self.file.to_string(),
            line,
            problem,
        }
    }

    /// Checks that a number is finite and not negative.
    pub(super) fn check_number(&self, path: FieldPath, found: f64) -> Result<f64, InputError> {
        if found.is_finite() && found >= 0.0 {
            return Ok(found);
        }
        let (field, index) = match path {
            FieldPath::TopLevel(field) => (field, 0),
            FieldPath::Element { list, index, .. } => (list, index),
        };
        Err(self.error(field, index, InputProblem::InvalidNumber { path, found }))
    }

    /// Checks that there is at least one name, and that names are not empty and all different.
    pub(super) fn check_names<'a>(
        &self,
        list: &'static str,
        names: impl Iterator<Item = &'a str>,
    ) -> Result<(), InputError> {
        let names: Vec<&str> = names.collect();
        if names.is_empty() {
            return Err(self.error(list, 0, InputProblem::Empty(list)));
        }
        for (index, name) in names.iter().enumerate() {
            if name.is_empty() || names[..index].contains(name) {
                let problem = InputProblem::InvalidName {
                    path: FieldPath::Element {
                        list,
                        index,
                        field: "name",
                    },
                    found: name.to_string(),
                };
                return Err(self.error(list, index, problem));
            }
        }
        Ok(())
    }

    /// The line at which the `index`th occurrence of a field begins; the first line if it is not found.
    fn line_of(&self, field: &str, index: usize) -> usize {
        let begins_field = |line: &str| {
            let rest = line.trim_start().strip_prefix(field);
            rest.is_some_and(|rest| rest.trim_start().starts_with(['{', ':', '<']))
        };
        let mut lines = self
            .text
            .lines()
            .enumerate()
            .filter(|(_, line)| begins_field(line));
        lines
            .nth(index)
            .map_or(FIRST_LINE, |(position, _)| FIRST_LINE + position)
    }
}
