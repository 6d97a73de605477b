// Package measure runs the measurements behind the capacity figures and reports them as a table or JSON.
package measure
