// Package standin holds small stand-ins for the platform's store and for targets, with faults switched at run time.
package standin
