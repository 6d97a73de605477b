// Package measure runs the measurements from which the capacity figures are derived, and reports them as a table or JSON.
package measure
